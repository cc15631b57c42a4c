package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.DecisionKind;
import org.limpetdoor.core.effect.AbortCall;
import org.limpetdoor.core.effect.CancelForward;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.GatewayEffect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RelayErrorResponse;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.CallAbandoned;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.ListedInstance;

class CallEventsTest {
  private static final ModelKey M1 = ModelKey.of("m1");

  private final GatewayFixture world = new GatewayFixture();

  private void twoPlainEngines() {
    world.routes(
        1,
        GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 2),
        GatewayFixture.route("/once/", CallKind.AT_MOST_ONCE, 2),
        GatewayFixture.route("/stream/", CallKind.STREAM, 2));
    world.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
    world.take(ForwardCall.class);
  }

  /**
   * Sends a call to one of two model engines, slows the streams of the other one and returns it.
   */
  private BackendId slowedIdleEngine() {
    world.routes(1, GatewayFixture.modelRoute("/chat/"));
    world.engines(
        GatewayFixture.entry("e1", "llm", 1, 0, M1), GatewayFixture.entry("e2", "llm", 1, 0, M1));
    world.call("/chat/x", Optional.of(M1), 5_000);
    BackendId busy = world.take(ForwardCall.class).get(0).engine();
    BackendId idle = new BackendId(busy.value().equals("e1") ? "e2" : "e1");
    world.reduce(new EnginePaceChanged(world.nowMs(), busy, 30));
    world.reduce(new EnginePaceChanged(world.nowMs(), idle, 110));
    return idle;
  }

  /** Completes as many calls as are needed to earn the given number of retries. */
  private void earnRetries(int retries) {
    for (int i = 0; i < retries * 5; i++) {
      long id = world.call("/safe/x", Optional.empty(), 1_000);
      world.endForward(id, 1, ForwardResult.COMPLETED);
    }
    world.take(ForwardCall.class);
  }

  /** Guards against a 404 response from an instance that has no configuration yet. */
  @Test
  void refusesAsNotRunWithoutConfiguration() {
    world.call("/safe/x", Optional.empty(), 1_000);

    assertThat(world.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.NO_CONFIGURATION);
  }

  /**
   * Guards against selecting the first matching route instead of the one with the longest prefix.
   */
  @Test
  void bindsToTheLongestPrefix() {
    world.routes(
        1,
        GatewayFixture.route("/a/", CallKind.IDEMPOTENT, 1),
        GatewayFixture.route("/a/b/", CallKind.AT_MOST_ONCE, 1));
    world.engines(GatewayFixture.plain("e1"));

    world.call("/a/b/c", Optional.empty(), 1_000);
    world.call("/a", Optional.empty(), 1_000);

    List<ForwardCall> sent = world.take(ForwardCall.class);
    assertThat(sent).hasSize(1);
    assertThat(sent.get(0).atMostOnce()).isTrue();
  }

  /** Guards against an engine deadline later than that of the caller or of the route. */
  @Test
  void forwardsTheEarlierDeadline() {
    twoPlainEngines();

    world.call("/safe/x", Optional.empty(), 900);
    world.call("/safe/x", Optional.empty(), 60_000);

    List<ForwardCall> sent = world.take(ForwardCall.class);
    assertThat(sent.get(0).timeLeftMs()).isEqualTo(900);
    assertThat(sent.get(1).timeLeftMs()).isEqualTo(2_000);
  }

  /** Guards against running an at-most-once call a second time. */
  @Test
  void neverSendsAnAtMostOnceCallAgainAfterItMayHaveRun() {
    twoPlainEngines();
    earnRetries(3);
    for (ForwardResult result :
        List.of(ForwardResult.CONNECTION_LOST, ForwardResult.INVALID_ANSWER)) {
      long id = world.call("/once/x", Optional.empty(), 1_000);
      world.take(ForwardCall.class);

      world.endForward(id, 1, result);

      assertThat(world.gateway().openCalls()).isEqualTo(0);
    }
    List<ReplyToCall> replies = world.take(ReplyToCall.class);
    assertThat(replies.get(replies.size() - 1).reply()).isEqualTo(Reply.OUTCOME_UNKNOWN);
  }

  /** Guards against failing a call that the engine reported as not run. */
  @Test
  void retriesAnAtMostOnceCallThatAnEngineDidNotRun() {
    twoPlainEngines();
    earnRetries(1);
    long id = world.call("/once/x", Optional.empty(), 1_000);
    ForwardCall first = world.take(ForwardCall.class).get(0);

    world.endForward(id, 1, ForwardResult.BUSY);

    ForwardCall second = world.take(ForwardCall.class).get(0);
    assertThat(second.engine()).isNotEqualTo(first.engine());
  }

  /** Guards against more retries than this instance has earned. */
  @Test
  void limitsRetriesToTheEarnedBudget() {
    twoPlainEngines();
    earnRetries(2);
    int retries = 0;
    for (int i = 0; i < 10; i++) {
      long id = world.call("/safe/x", Optional.empty(), 1_000);
      world.take(ForwardCall.class);
      world.endForward(id, 1, ForwardResult.CONNECTION_LOST);
      retries += world.take(ForwardCall.class).size();
      world.reduce(new CallAbandoned(world.nowMs(), id));
    }

    // The 10 calls before and the 10 calls here earn 4 retries at a ratio of 0.2.
    assertThat(retries).isAtMost(4);
    assertThat(retries).isAtLeast(2);
  }

  /** Guards against an idempotent call that runs on more engines than its route allows. */
  @Test
  void stopsAtTheMaxAttemptsOfTheRoute() {
    twoPlainEngines();
    world.engines(GatewayFixture.plain("e3"));
    earnRetries(4);
    long id = world.call("/safe/x", Optional.empty(), 1_000);
    world.endForward(id, 1, ForwardResult.CONNECTION_LOST);
    world.take(ForwardCall.class);

    world.endForward(id, 2, ForwardResult.CONNECTION_LOST);

    assertThat(world.take(ForwardCall.class)).isEmpty();
    assertThat(world.gateway().openCalls()).isEqualTo(0);
  }

  /** Guards against replacing an engine's error response with a reply of the instance. */
  @Test
  void passesOnAnEngineErrorWhenNoRetryIsLeft() {
    twoPlainEngines();
    long id = world.call("/once/x", Optional.empty(), 1_000);

    world.endForward(id, 1, ForwardResult.ERROR_ANSWER);

    assertThat(world.take(RelayErrorResponse.class)).containsExactly(new RelayErrorResponse(id, 1));
  }

  /** Guards against a stream that looks complete although the connection to its engine was lost. */
  @Test
  void breaksOffAStreamThatCannotBeResumed() {
    twoPlainEngines();
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.reduce(new ForwardStarted(world.nowMs(), id, 1));

    world.reduce(new ForwardEnded(world.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));

    assertThat(world.take(AbortCall.class)).containsExactly(new AbortCall(id));
  }

  /** Guards against ending the attempt at a silent engine when no retry is left. */
  @Test
  void keepsASilentAttemptWhenNoRetryIsLeft() {
    twoPlainEngines();
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.take(ForwardCall.class);

    world.reduce(new ForwardSilent(world.nowMs(), id, 1));

    assertThat(world.take(CancelForward.class)).isEmpty();
    assertThat(world.gateway().openCalls()).isEqualTo(1);
  }

  /** Guards against two engines running the same call at the same time. */
  @Test
  void abandonsTheSilentAttemptBeforeSendingTheNext() {
    twoPlainEngines();
    earnRetries(1);
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.take(ForwardCall.class);

    world.reduce(new ForwardSilent(world.nowMs(), id, 1));

    List<GatewayEffect> effects = world.take(GatewayEffect.class);
    assertThat(effects.get(0)).isEqualTo(new CancelForward(id, 1));
    assertThat(effects.get(1)).isInstanceOf(ForwardCall.class);
  }

  /** Guards against completing a call by the late end of an earlier attempt. */
  @Test
  void ignoresTheEndOfASupersededAttempt() {
    twoPlainEngines();
    earnRetries(1);
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.reduce(new ForwardSilent(world.nowMs(), id, 1));
    world.take(ForwardCall.class);

    world.endForward(id, 1, ForwardResult.COMPLETED);

    assertThat(world.gateway().openCalls()).isEqualTo(1);
  }

  /** Guards against a call that stays open beyond the timeout of its route. */
  @Test
  void failsACallAtTheTimeoutOfItsRoute() {
    twoPlainEngines();
    long id = world.call("/once/x", Optional.empty(), 60_000);

    world.advance(2_000);

    assertThat(world.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.TIMED_OUT, 0));
  }

  /** Guards against an engine that keeps running a call whose caller has disconnected. */
  @Test
  void abandonsTheAttemptOfADisconnectedCaller() {
    twoPlainEngines();
    long id = world.call("/safe/x", Optional.empty(), 1_000);
    world.take(ForwardCall.class);

    world.reduce(new CallAbandoned(world.nowMs(), id));

    assertThat(world.take(CancelForward.class)).containsExactly(new CancelForward(id, 1));
  }

  /** Guards against a call that waits indefinitely while all engines are full. */
  @Test
  void refusesACallWhenAllEnginesStayFull() {
    twoPlainEngines();
    for (int i = 0; i < 16; i++) {
      world.call("/once/x", Optional.empty(), 2_000);
    }
    world.take(ForwardCall.class);
    long id = world.call("/once/x", Optional.empty(), 2_000);

    world.advance(1_000);

    assertThat(world.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.ENGINES_FULL, 1_200));
  }

  /** Guards against a waiting call that is not sent when an engine becomes available. */
  @Test
  void sendsAWaitingCallWhenAnEngineBecomesAvailable() {
    twoPlainEngines();
    for (int i = 0; i < 16; i++) {
      world.call("/once/x", Optional.empty(), 2_000);
    }
    long waiting = world.call("/once/x", Optional.empty(), 2_000);
    world.take(ForwardCall.class);

    world.endForward(1, 1, ForwardResult.COMPLETED);

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(waiting);
  }

  /** Guards against a repeated request that crashes one engine after another. */
  @Test
  void refusesARequestAfterThreeLostConnections() {
    twoPlainEngines();
    for (int i = 0; i < 3; i++) {
      long id = world.call("/once/x", Optional.empty(), 1_000);
      world.endForward(id, 1, ForwardResult.CONNECTION_LOST);
    }
    world.take(ReplyToCall.class);

    world.call("/once/x", Optional.empty(), 1_000);

    assertThat(world.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.CRASH_SUSPECT);
  }

  /**
   * Guards against refusing a common request because of connections lost for other reasons,
   * although engines also answer it.
   */
  @Test
  void clearsTheLossesOfAnAnsweredRequest() {
    twoPlainEngines();
    for (int i = 0; i < 3; i++) {
      long lost = world.call("/once/x", Optional.empty(), 1_000);
      world.endForward(lost, 1, ForwardResult.CONNECTION_LOST);
      long answered = world.call("/once/x", Optional.empty(), 1_000);
      world.endForward(answered, 1, ForwardResult.COMPLETED);
    }
    world.take(ForwardCall.class);

    world.call("/once/x", Optional.empty(), 1_000);

    assertThat(world.take(ForwardCall.class)).hasSize(1);
  }

  /** Guards against refusing calls that the load balancer still sends shortly after SIGTERM. */
  @Test
  void acceptsCallsForAWhileAfterTheShutdownBegins() {
    twoPlainEngines();
    world.reduce(new DrainRequested(world.nowMs(), 7_000));
    world.take(ForwardCall.class);

    world.call("/safe/x", Optional.empty(), 1_000);
    assertThat(world.take(ForwardCall.class)).hasSize(1);

    world.advance(3_000);
    world.take(ReplyToCall.class);
    world.call("/safe/x", Optional.empty(), 1_000);
    assertThat(world.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.SHUTTING_DOWN);
  }

  /** Guards against sending a call to an engine that does not have its adapter loaded. */
  @Test
  void keepsACallWaitingForAnAdapterThatNoEngineHolds() {
    world.routes(1, GatewayFixture.modelRoute("/m/"));
    world.engines(GatewayFixture.entry("g1", "llm", 1, 0, ModelKey.of("m1")));

    long id = world.call("/m/x", Optional.of(ModelKey.of("m1", "a1")), 10_000);

    assertThat(world.take(ForwardCall.class)).isEmpty();
    assertThat(world.gateway().waiting()).contains(id);
    assertThat(world.take(SendToPeer.class)).isEmpty();
  }

  /**
   * Guards against aborting a stream because all engines that could resume it are full at the
   * moment when its engine fails.
   */
  @Test
  void queuesAnInterruptedStreamUntilAnEngineIsAvailable() {
    world.routes(1, GatewayFixture.modelRoute("/chat/"));
    ModelKey model = ModelKey.of("m1");
    world.engines(
        GatewayFixture.entry("e1", "llm", 1, 0, model),
        GatewayFixture.entry("e2", "llm", 1, 0, model));
    for (int i = 0; i < 30; i++) {
      long id = world.call("/chat/x", Optional.of(model), 9_000);
      world.endForward(id, 1, ForwardResult.COMPLETED);
    }
    long[] calls = new long[8];
    for (int i = 0; i < calls.length; i++) {
      calls[i] = world.call("/chat/x", Optional.of(model), 9_000);
    }
    world.advance(2_500);
    world.take(ForwardCall.class);

    world.reduce(new ForwardEnded(world.nowMs(), calls[0], 1, ForwardResult.CONNECTION_LOST, true));
    assertThat(world.take(AbortCall.class)).isEmpty();
    for (int i = 1; i < calls.length; i++) {
      world.endForward(calls[i], 1, ForwardResult.COMPLETED);
    }

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(calls[0]);
  }

  /**
   * Guards against retry budgets whose sum exceeds that of the deployment, because each instance of
   * a large deployment divides the budget only among the few peers from which it receives digests.
   */
  @Test
  void dividesTheRetryBudgetAmongAllListedInstances() {
    List<ListedInstance> fleet = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      fleet.add(
          new ListedInstance(
              new InstanceId("node-" + i), "10.0.1." + i + ":1", new ZoneId("z"), "r", false));
    }
    world.reduce(new InstancesListed(world.nowMs(), fleet));
    twoPlainEngines();

    world.call("/safe/x", Optional.empty(), 1_000);

    double share = world.gateway().budgets().get("plain").maxAvailable();
    assertThat(share * fleet.size()).isAtMost(GatewayFixture.SETTINGS.retrySlack());
  }

  /**
   * Guards against refusing a call because the only engine with its model loaded was full for a
   * moment.
   */
  @Test
  void retriesABusyEngine() {
    world.routes(1, GatewayFixture.modelRoute("/chat/"));
    ModelKey model = ModelKey.of("m1");
    world.engines(GatewayFixture.entry("e1", "llm", 1, 0, model));
    for (int i = 0; i < 10; i++) {
      world.endForward(
          world.call("/chat/x", Optional.of(model), 9_000), 1, ForwardResult.COMPLETED);
    }
    long other = world.call("/chat/x", Optional.of(model), 9_000);
    long id = world.call("/chat/x", Optional.of(model), 9_000);
    world.take(ForwardCall.class);

    world.endForward(id, 1, ForwardResult.BUSY);
    assertThat(world.take(ReplyToCall.class)).isEmpty();
    world.advance(150);
    world.endForward(other, 1, ForwardResult.COMPLETED);

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(id);
  }

  /** Guards against keeping a call at a silent engine without logging the reason. */
  @Test
  void recordsWhyASilentAttemptIsKept() {
    twoPlainEngines();
    long id = world.call("/once/x", Optional.empty(), 1_000);

    world.reduce(new ForwardSilent(world.nowMs(), id, 1));

    List<String> lines =
        world.take(RecordDecision.class).stream()
            .map(effect -> effect.decision())
            .filter(decision -> decision.kind() == DecisionKind.CALL_SILENT)
            .map(decision -> decision.fields().toString())
            .toList();
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0)).contains("no_retry");
  }

  /** Guards against a backlog of late calls that makes all later calls late as well. */
  @Test
  void sendsCallsWithinTheirTargetLatencyFirst() {
    twoPlainEngines();
    long[] running = new long[16];
    for (int i = 0; i < running.length; i++) {
      running[i] = world.call("/once/x", Optional.empty(), 2_000);
    }
    world.call("/once/x", Optional.empty(), 2_000);
    world.advance(300);
    long inTime = world.call("/once/x", Optional.empty(), 2_000);
    world.take(ForwardCall.class);

    world.endForward(running[0], 1, ForwardResult.COMPLETED);

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(inTime);
  }

  /**
   * Guards against sending prompts to an engine that is slowed down by a neighbouring workload.
   * They would delay all its streams, while a busier engine could process them in time.
   */
  @Test
  void avoidsAnEngineWhoseStreamsHaveSlowedDown() {
    BackendId slowedEngine = slowedIdleEngine();

    world.call("/chat/x", Optional.of(M1), 5_000);

    assertThat(world.take(ForwardCall.class).get(0).engine()).isNotEqualTo(slowedEngine);
  }

  /** Guards against avoiding an engine after the load of its neighbour has ended. */
  @Test
  void ignoresAnExpiredPaceObservation() {
    BackendId slowedEngine = slowedIdleEngine();

    world.advance(1_300);
    world.call("/chat/x", Optional.of(M1), 5_000);

    assertThat(world.take(ForwardCall.class).get(0).engine()).isEqualTo(slowedEngine);
  }
}
