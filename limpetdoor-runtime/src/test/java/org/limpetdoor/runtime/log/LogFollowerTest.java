package org.limpetdoor.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the reads of a log that fails for a while. */
@Timeout(60)
final class LogFollowerTest {
  private static final int LONG_POLL_MS = 2_000;

  /** A log whose second and third read fail. */
  private static final class FailingLog implements LogService {
    private final BlockingQueue<Integer> waitsMs = new LinkedBlockingQueue<>();
    private int reads;

    @Override
    public long append(byte[] body) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Page read(long from, int max, int waitMs) {
      waitsMs.add(waitMs);
      reads++;
      if (reads == 2 || reads == 3) {
        throw new LogServiceException(LogFailure.ANSWER_LOST, "log", "no response", null);
      }
      return new Page(List.of(), from, 0);
    }
  }

  /** Guards against a log that has returned and is read only after one more long poll. */
  @Test
  void readsAfterAFailedOneDoNotWaitForRecords() throws Exception {
    FailingLog log = new FailingLog();
    List<Integer> waitsMs = new ArrayList<>();
    try (LogFollower follower = new LogFollower("test", log, () -> 0, read -> {})) {
      follower.start();
      for (int i = 0; i < 5; i++) {
        waitsMs.add(log.waitsMs.poll(30, TimeUnit.SECONDS));
      }
    }

    assertThat(waitsMs).containsExactly(LONG_POLL_MS, LONG_POLL_MS, 0, 0, LONG_POLL_MS).inOrder();
  }
}
