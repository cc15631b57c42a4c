package org.limpetdoor.entry.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.CyclicBarrier;
import org.junit.jupiter.api.Test;
import org.limpetdoor.runtime.BodyMemory;

/** Tests what the body of a response reserves while it is received, passed on and cancelled. */
class ReceivedBodyTest {
  private static final int CAPACITY_BYTES = 1 << 20;
  private static final int ROUNDS = 2_000;

  private final BodyMemory memory = BodyMemory.ofBytes(CAPACITY_BYTES);
  private final ReceivedBody body = new ReceivedBody(memory);

  /** Guards against memory that stays counted for a part that arrives after the cancellation. */
  @Test
  void dropsAPartThatArrivesAfterTheEnd() {
    body.close();
    assertThat(body.append(new byte[100])).isTrue();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  /** Guards against memory that is lost when a body grows while another thread closes it. */
  @Test
  void countsNothingAfterItWasClosedWhileItGrew() throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      ReceivedBody growing = new ReceivedBody(memory);
      CyclicBarrier start = new CyclicBarrier(2);
      Thread receiver =
          new Thread(
              () -> {
                await(start);
                growing.append(new byte[100]);
                growing.append(new byte[100]);
              });
      receiver.start();
      await(start);
      growing.close();
      receiver.join();
      assertThat(memory.usedBytes()).isEqualTo(0);
    }
  }

  /** Guards against a response that is counted by nobody after its attempt has ended. */
  @Test
  void leavesItsMemoryToTheNewOwner() {
    body.append(new byte[] {1, 2});
    body.append(new byte[] {3});
    ByteBuf content = body.content();
    BodyMemory.Reservation moved = body.detachMemory();
    body.close();

    byte[] bytes = new byte[content.readableBytes()];
    content.getBytes(0, bytes);
    assertThat(bytes).isEqualTo(new byte[] {1, 2, 3});
    assertThat(memory.usedBytes()).isAtLeast(3);
    moved.close();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  @Test
  void refusesAPartWithoutMemory() {
    assertThat(body.append(new byte[CAPACITY_BYTES])).isFalse();
  }

  private static void await(CyclicBarrier barrier) {
    try {
      barrier.await();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
