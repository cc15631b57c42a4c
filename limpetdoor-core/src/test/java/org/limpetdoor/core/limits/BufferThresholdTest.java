package org.limpetdoor.core.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class BufferThresholdTest {
  private static final long CAPACITY_BYTES = 1_000;

  private final BufferThreshold threshold = new BufferThreshold(CAPACITY_BYTES);

  /** Guards against long buffers that together fill the memory and leave none for short ones. */
  @Test
  void leavesMemoryForShortBuffersBesideManyThatGrowWithoutEnd() {
    long[] buffers = new long[9];
    long usedBytes = 0;
    for (int round = 0; round < CAPACITY_BYTES; round++) {
      int index = round % buffers.length;
      if (threshold.allows(buffers[index] + 1, usedBytes + 1)) {
        buffers[index]++;
        usedBytes++;
      }
    }

    assertThat(usedBytes).isEqualTo(900);
    assertThat(threshold.allows(50, usedBytes + 50)).isTrue();
  }

  /** Guards against refusing a long message while nothing else needs the memory. */
  @Test
  void allowsASingleBufferHalfOfTheMemory() {
    assertThat(threshold.allows(500, 500)).isTrue();
    assertThat(threshold.allows(501, 501)).isFalse();
  }
}
