package org.limpetdoor.core.backend;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against suspicion that never ends, grows without bound or feeds itself between peers. */
final class CrashSuspectsTest {
  private static final long MINUTE_MS = 60_000;

  @Test
  void suspicionAndBanEnd() {
    CrashSuspects banned = CrashSuspects.NONE.withCrashAlone(1, 0);
    assertThat(banned.bans(1, 9 * MINUTE_MS)).isTrue();
    assertThat(banned.bans(1, 10 * MINUTE_MS)).isFalse();
    assertThat(banned.suspects(1, 10 * MINUTE_MS)).isFalse();
  }

  @Test
  void oneCrashOfAFullEngineMakesNobodyASuspect() {
    List<Long> inFlight = LongStream.rangeClosed(1, 16).boxed().toList();
    CrashSuspects once = CrashSuspects.NONE.withCrash(inFlight, 0);
    assertThat(once.suspects(1, 0)).isFalse();
    assertThat(once.withCrash(List.of(1L, 20L, 21L), 5).suspects(1, 5)).isTrue();
  }

  @Test
  void theWorstSuspectsAreKeptWhenTheTableIsFull() {
    CrashSuspects full = CrashSuspects.NONE.withCrashAlone(1, 0);
    for (long first = 100; first < 5_100; first += 10) {
      full = full.withCrash(LongStream.range(first, first + 10).boxed().toList(), 1);
    }
    assertThat(full.entries()).hasSize(1_000);
    assertThat(full.bans(1, 1)).isTrue();
  }

  @Test
  void peersDoNotRenewABanForEachOther() {
    CrashSuspects first = CrashSuspects.NONE.withCrashAlone(1, 0);
    CrashSuspects second = CrashSuspects.NONE;
    for (long nowMs = 0; nowMs < 12 * MINUTE_MS; nowMs += 500) {
      second = second.withShared(first.toShare(nowMs), nowMs + 100);
      first = first.withShared(second.toShare(nowMs + 100), nowMs + 200);
    }
    assertThat(second.bans(1, 12 * MINUTE_MS)).isFalse();
    assertThat(first.bans(1, 12 * MINUTE_MS)).isFalse();
  }

  @Test
  void aBanOfAPeerCounts() {
    CrashSuspects peer = CrashSuspects.NONE.withCrashAlone(1, 50);
    assertThat(CrashSuspects.NONE.withShared(peer.toShare(60), 7).bans(1, 8)).isTrue();
  }
}
