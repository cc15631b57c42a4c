package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.limpetdoor.runtime.BodyMemory;

/** Tests what a body reserves while it grows. */
class BufferedBodyTest {
  private final BodyMemory memory = BodyMemory.ofBytes(1_000_000);
  private final BufferedBody body = new BufferedBody(memory);

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  private void appendOneByOne(int count) {
    for (int i = 0; i < count; i++) {
      assertThat(body.append(bytes("x"))).isTrue();
    }
  }

  /** Guards against blocks that take more memory than is counted for their content. */
  @Test
  void reservesTheBlocksOfABodyThatGrowsByteByByte() {
    appendOneByOne(2);
    assertThat(memory.usedBytes()).isAtLeast(1 << 10);
    appendOneByOne(100_000);
    assertThat(memory.usedBytes()).isAtLeast(body.lengthBytes());
    assertThat(memory.usedBytes()).isAtMost(2 * body.lengthBytes());
  }

  /** Guards against a spare block for a body that comes in one part. */
  @Test
  void reservesTheLengthOfABodyInOnePart() {
    assertThat(body.append(bytes("hello"))).isTrue();
    assertThat(memory.usedBytes()).isEqualTo(5);
  }

  @Test
  void keepsTheLengthReservedForACopy() {
    appendOneByOne(3_000);
    assertThat(new String(body.toByteArray(), StandardCharsets.ISO_8859_1))
        .isEqualTo("x".repeat(3_000));
    body.dropContent();
    assertThat(memory.usedBytes()).isEqualTo(3_000);
    body.close();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  /** Guards against a second copy in memory of each response that is passed on. */
  @Test
  void returnsItsBlocksAsContent() {
    assertThat(body.content().isReadable()).isFalse();
    body.append(bytes("hello"));
    appendOneByOne(3_000);
    assertThat(body.content().toString(StandardCharsets.ISO_8859_1))
        .isEqualTo("hello" + "x".repeat(3_000));
    long usedBytes = memory.usedBytes();
    BodyMemory.Reservation moved = body.detachMemory();
    assertThat(body.lengthBytes()).isEqualTo(0);
    body.close();
    assertThat(memory.usedBytes()).isEqualTo(usedBytes);
    moved.close();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  @Test
  void refusesABlockWithoutMemory() {
    BufferedBody small = new BufferedBody(BodyMemory.ofBytes(1_500));
    assertThat(small.append(bytes("x"))).isTrue();
    assertThat(small.append(bytes("x"))).isFalse();
  }
}
