package org.limpetdoor.core.backend;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against crash suspicion that never expires, grows without bound or is renewed between
 * peers without end.
 */
final class CrashSuspectsTest {
  private static final long MINUTE_MS = 60_000;

  @Test
  void suspicionAndBanExpire() {
    CrashSuspects banned = CrashSuspects.NONE.withIsolatedCrash(1, 0);
    assertThat(banned.isBanned(1, 9 * MINUTE_MS)).isTrue();
    assertThat(banned.isBanned(1, 10 * MINUTE_MS)).isFalse();
    assertThat(banned.isSuspect(1, 10 * MINUTE_MS)).isFalse();
  }

  @Test
  void oneCrashOfAFullEngineCreatesNoSuspect() {
    List<Long> inFlight = LongStream.rangeClosed(1, 16).boxed().toList();
    CrashSuspects once = CrashSuspects.NONE.withCrash(inFlight, 0);
    assertThat(once.isSuspect(1, 0)).isFalse();
    assertThat(once.withCrash(List.of(1L, 20L, 21L), 5).isSuspect(1, 5)).isTrue();
  }

  @Test
  void keepsTheWorstSuspectsWhenTheTableIsFull() {
    CrashSuspects full = CrashSuspects.NONE.withIsolatedCrash(1, 0);
    for (long first = 100; first < 5_100; first += 10) {
      full = full.withCrash(LongStream.range(first, first + 10).boxed().toList(), 1);
    }
    assertThat(full.entries()).hasSize(1_000);
    assertThat(full.isBanned(1, 1)).isTrue();
  }

  @Test
  void peersDoNotRenewABanForEachOther() {
    CrashSuspects first = CrashSuspects.NONE.withIsolatedCrash(1, 0);
    CrashSuspects second = CrashSuspects.NONE;
    for (long nowMs = 0; nowMs < 12 * MINUTE_MS; nowMs += 500) {
      second = second.withShared(first.forPeers(nowMs), nowMs + 100);
      first = first.withShared(second.forPeers(nowMs + 100), nowMs + 200);
    }
    assertThat(second.isBanned(1, 12 * MINUTE_MS)).isFalse();
    assertThat(first.isBanned(1, 12 * MINUTE_MS)).isFalse();
  }

  @Test
  void appliesABanReportedByAPeer() {
    CrashSuspects peer = CrashSuspects.NONE.withIsolatedCrash(1, 50);
    assertThat(CrashSuspects.NONE.withShared(peer.forPeers(60), 7).isBanned(1, 8)).isTrue();
  }
}
