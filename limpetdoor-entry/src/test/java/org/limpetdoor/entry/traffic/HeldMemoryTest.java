package org.limpetdoor.entry.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetdoor.runtime.BodyMemory;

/** Tests that memory is counted without a gap when it passes to another owner. */
class HeldMemoryTest {
  private static final int RESPONSE_BYTES = 400;

  private final BodyMemory memory = BodyMemory.ofBytes(1_000);
  private final BodyMemory.Reservation receipt = memory.reserve();
  private final HeldMemory held = new HeldMemory();

  /** Guards against a response that nobody counts between its receipt and its write. */
  @Test
  void countsTheResponseUntilItIsWritten() {
    assertThat(receipt.tryGrow(RESPONSE_BYTES)).isTrue();
    held.hold(receipt.detach());
    receipt.close();
    assertThat(memory.usedBytes()).isEqualTo(RESPONSE_BYTES);

    held.close();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  /** Guards against memory that is never released if the caller leaves before its response. */
  @Test
  void releasesAResponseForAConnectionThatHasEnded() {
    assertThat(receipt.tryGrow(RESPONSE_BYTES)).isTrue();
    held.close();
    held.hold(receipt.detach());
    assertThat(memory.usedBytes()).isEqualTo(0);
  }
}
