package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.id.InstanceId;

/** Guards against a part of prompts that crashes engines through one instance after another. */
class CrashingPromptFleetTest {
  private static final long SETTLE_MS = 4_000;
  private static final long COMMON = 0x11_0000_0000L;
  private static final long CRASHING = 0x66_0000_0000L;

  /** Time after which instances that are in contact must know of a crash, in milliseconds. */
  private static final long CONTACT_TIMEOUT_MS = 3_000;

  private static final int KNOWN_CRASHES = 5;
  private static final int MAX_LATER_CRASHES = 3;

  private long nextCall = 1;
  private int soundCalls;

  /** Sends a prompt each 10 ms to some instance, one in five with the crashing part. */
  private void sendPrompts(FleetSimulation fleet, Random random, long forMs) {
    for (long sentMs = 0; sentMs < forMs; sentMs += 10) {
      boolean crashing = random.nextInt(5) == 0;
      InstanceId instance = fleet.any(fleet.liveIds());
      long own = 0x77_0000_0000L + nextCall % 7;
      soundCalls += crashing ? 0 : 1;
      fleet.prompt(
          instance, nextCall++, crashing ? List.of(COMMON, CRASHING, own) : List.of(COMMON, own));
      fleet.advance(10);
    }
  }

  private static void assertFewCrashes(FleetSimulation fleet, String label) {
    List<Long> crashes = fleet.crashTimesMs();
    long knownFromMs =
        crashes.size() < KNOWN_CRASHES
            ? Long.MAX_VALUE
            : crashes.get(KNOWN_CRASHES - 1) + CONTACT_TIMEOUT_MS;
    long later = crashes.stream().filter(atMs -> atMs > knownFromMs).count();
    assertWithMessage("%s: late crashes of %s", label, crashes)
        .that(later)
        .isAtMost(MAX_LATER_CRASHES);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void instancesStopAPartThatCrashesEnginesForEachOther(boolean afterFirstEvent) {
    for (int size : List.of(1, 6, 40)) {
      FleetSimulation fleet = new FleetSimulation(size, 4, size);
      if (afterFirstEvent) {
        fleet.crashAfterFirstEvent();
      }
      fleet.advance(SETTLE_MS);
      fleet.answerCallsWithout(CRASHING);
      soundCalls = 0;

      sendPrompts(fleet, new Random(size), 12_000);
      fleet.advance(200);

      assertFewCrashes(fleet, "fleet of " + size);
      assertThat(fleet.answeredCalls()).isEqualTo(soundCalls);
    }
  }

  @Test
  void restartedInstancesLearnOfThePartFromTheirPeers() {
    FleetSimulation fleet = new FleetSimulation(6, 3, 8);
    fleet.advance(SETTLE_MS);
    fleet.answerCallsWithout(CRASHING);
    Random random = new Random(8);
    sendPrompts(fleet, random, 5_000);

    for (InstanceId id : fleet.ids()) {
      fleet.kill(id);
      sendPrompts(fleet, random, 1_000);
      fleet.restart(id);
      fleet.advance(SETTLE_MS);
      sendPrompts(fleet, random, 1_000);
    }

    assertFewCrashes(fleet, "restarts in turn");
  }
}
