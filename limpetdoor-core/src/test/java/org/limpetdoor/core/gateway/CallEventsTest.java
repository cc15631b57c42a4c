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

  private final GatewayWorld world = new GatewayWorld();

  private void twoPlainEngines() {
    world.routes(
        1,
        GatewayWorld.route("/safe/", CallKind.IDEMPOTENT, 2),
        GatewayWorld.route("/once/", CallKind.AT_MOST_ONCE, 2),
        GatewayWorld.route("/stream/", CallKind.STREAM, 2));
    world.engines(GatewayWorld.plain("e1"), GatewayWorld.plain("e2"));
    world.take(ForwardCall.class);
  }

  /** One of two model engines has a call, and the streams of the other one have slowed down. */
  private BackendId idleEngineThatSlowsDown() {
    world.routes(1, GatewayWorld.modelRoute("/chat/"));
    world.engines(
        GatewayWorld.entry("e1", "llm", 1, 0, M1), GatewayWorld.entry("e2", "llm", 1, 0, M1));
    world.call("/chat/x", Optional.of(M1), 5_000);
    BackendId busy = world.take(ForwardCall.class).get(0).engine();
    BackendId idle = new BackendId(busy.value().equals("e1") ? "e2" : "e1");
    world.reduce(new EnginePaceChanged(world.nowMs(), busy, 30));
    world.reduce(new EnginePaceChanged(world.nowMs(), idle, 110));
    return idle;
  }

  /** Lets the budget grow by the ratio of usual calls. */
  private void earnRetries(int retries) {
    for (int i = 0; i < retries * 5; i++) {
      long id = world.call("/safe/x", Optional.empty(), 1_000);
      world.ends(id, 1, ForwardResult.COMPLETED);
    }
    world.take(ForwardCall.class);
  }

  /** Guards against a 404 by an instance that cannot know the routes yet. */
  @Test
  void refusesAsNotRunWithoutConfiguration() {
    world.call("/safe/x", Optional.empty(), 1_000);

    assertThat(world.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.NO_CONFIGURATION);
  }

  /** Guards against a choice of the first route that matches instead of the longest prefix. */
  @Test
  void bindsToTheLongestPrefix() {
    world.routes(
        1,
        GatewayWorld.route("/a/", CallKind.IDEMPOTENT, 1),
        GatewayWorld.route("/a/b/", CallKind.AT_MOST_ONCE, 1));
    world.engines(GatewayWorld.plain("e1"));

    world.call("/a/b/c", Optional.empty(), 1_000);
    world.call("/a", Optional.empty(), 1_000);

    List<ForwardCall> sent = world.take(ForwardCall.class);
    assertThat(sent).hasSize(1);
    assertThat(sent.get(0).atMostOnce()).isTrue();
  }

  /** Guards against an engine that works longer than the caller or the route waits. */
  @Test
  void carriesTheShorterOfBothTimesOn() {
    twoPlainEngines();

    world.call("/safe/x", Optional.empty(), 900);
    world.call("/safe/x", Optional.empty(), 60_000);

    List<ForwardCall> sent = world.take(ForwardCall.class);
    assertThat(sent.get(0).timeLeftMs()).isEqualTo(900);
    assertThat(sent.get(1).timeLeftMs()).isEqualTo(2_000);
  }

  /** Guards against a second run of a call that may not be repeated. */
  @Test
  void neverSendsAnAtMostOnceCallAgainAfterItMayHaveRun() {
    twoPlainEngines();
    earnRetries(3);
    for (ForwardResult result :
        List.of(ForwardResult.CONNECTION_LOST, ForwardResult.INVALID_ANSWER)) {
      long id = world.call("/once/x", Optional.empty(), 1_000);
      world.take(ForwardCall.class);

      world.ends(id, 1, result);

      assertThat(world.gateway().openCalls()).isEqualTo(0);
    }
    List<ReplyToCall> replies = world.take(ReplyToCall.class);
    assertThat(replies.get(replies.size() - 1).reply()).isEqualTo(Reply.OUTCOME_UNKNOWN);
  }

  /** Guards against a lost call when an engine says that it did not run it. */
  @Test
  void sendsAnAtMostOnceCallElsewhereAfterAnEngineDidNotRunIt() {
    twoPlainEngines();
    earnRetries(1);
    long id = world.call("/once/x", Optional.empty(), 1_000);
    ForwardCall first = world.take(ForwardCall.class).get(0);

    world.ends(id, 1, ForwardResult.BUSY);

    ForwardCall second = world.take(ForwardCall.class).get(0);
    assertThat(second.engine()).isNotEqualTo(first.engine());
  }

  /** Guards against retries beyond the share of this instance in the budget of all. */
  @Test
  void spendsNoMoreRetriesThanTheRatioEarned() {
    twoPlainEngines();
    earnRetries(2);
    int retries = 0;
    for (int i = 0; i < 10; i++) {
      long id = world.call("/safe/x", Optional.empty(), 1_000);
      world.take(ForwardCall.class);
      world.ends(id, 1, ForwardResult.CONNECTION_LOST);
      retries += world.take(ForwardCall.class).size();
      world.reduce(new CallAbandoned(world.nowMs(), id));
    }

    // 10 calls before and 10 now earn four at a ratio of 0.2.
    assertThat(retries).isAtMost(4);
    assertThat(retries).isAtLeast(2);
  }

  /** Guards against an idempotent call that runs on more engines than its route allows. */
  @Test
  void stopsAtTheAttemptsOfTheRoute() {
    twoPlainEngines();
    world.engines(GatewayWorld.plain("e3"));
    earnRetries(4);
    long id = world.call("/safe/x", Optional.empty(), 1_000);
    world.ends(id, 1, ForwardResult.CONNECTION_LOST);
    world.take(ForwardCall.class);

    world.ends(id, 2, ForwardResult.CONNECTION_LOST);

    assertThat(world.take(ForwardCall.class)).isEmpty();
    assertThat(world.gateway().openCalls()).isEqualTo(0);
  }

  /** Guards against a failure of the instance's own in place of the engine's word. */
  @Test
  void passesTheFailureOfAnEngineOnWhenNoRetryIsLeft() {
    twoPlainEngines();
    long id = world.call("/once/x", Optional.empty(), 1_000);

    world.ends(id, 1, ForwardResult.ERROR_ANSWER);

    assertThat(world.take(RelayErrorResponse.class)).containsExactly(new RelayErrorResponse(id, 1));
  }

  /** Guards against a stream that looks whole although its engine broke off. */
  @Test
  void breaksAStreamOffThatCannotGoOn() {
    twoPlainEngines();
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.reduce(new ForwardStarted(world.nowMs(), id, 1));

    world.reduce(new ForwardEnded(world.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));

    assertThat(world.take(AbortCall.class)).containsExactly(new AbortCall(id));
  }

  /** Guards against an answer that ends because its engine is silent and no retry is left. */
  @Test
  void keepsASilentAttemptIfNoOtherEngineTakesTheCall() {
    twoPlainEngines();
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.take(ForwardCall.class);

    world.reduce(new ForwardSilent(world.nowMs(), id, 1));

    assertThat(world.take(CancelForward.class)).isEmpty();
    assertThat(world.gateway().openCalls()).isEqualTo(1);
  }

  /** Guards against two engines that work on the same call. */
  @Test
  void abandonsTheSilentAttemptBeforeTheNextOne() {
    twoPlainEngines();
    earnRetries(1);
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.take(ForwardCall.class);

    world.reduce(new ForwardSilent(world.nowMs(), id, 1));

    List<GatewayEffect> effects = world.take(GatewayEffect.class);
    assertThat(effects.get(0)).isEqualTo(new CancelForward(id, 1));
    assertThat(effects.get(1)).isInstanceOf(ForwardCall.class);
  }

  /** Guards against a late answer of an attempt that was superseded. */
  @Test
  void ignoresTheEndOfAnAttemptThatWasSuperseded() {
    twoPlainEngines();
    earnRetries(1);
    long id = world.call("/stream/x", Optional.empty(), 1_000);
    world.reduce(new ForwardSilent(world.nowMs(), id, 1));
    world.take(ForwardCall.class);

    world.ends(id, 1, ForwardResult.COMPLETED);

    assertThat(world.gateway().openCalls()).isEqualTo(1);
  }

  /** Guards against a call that is held past the time of its route. */
  @Test
  void endsACallAtTheTimeOfItsRoute() {
    twoPlainEngines();
    long id = world.call("/once/x", Optional.empty(), 60_000);

    world.advance(2_000);

    assertThat(world.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.TIMED_OUT, 0));
  }

  /** Guards against an engine that works on for a caller that has left. */
  @Test
  void abandonsTheAttemptOfACallerThatHasLeft() {
    twoPlainEngines();
    long id = world.call("/safe/x", Optional.empty(), 1_000);
    world.take(ForwardCall.class);

    world.reduce(new CallAbandoned(world.nowMs(), id));

    assertThat(world.take(CancelForward.class)).containsExactly(new CancelForward(id, 1));
  }

  /** Guards against a call that waits for ever when no engine has room. */
  @Test
  void refusesACallThatNoEngineCouldTakeInTime() {
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

  /** Guards against a waiting call that is forgotten when an engine becomes free. */
  @Test
  void sendsAWaitingCallWhenAnEngineBecomesFree() {
    twoPlainEngines();
    for (int i = 0; i < 16; i++) {
      world.call("/once/x", Optional.empty(), 2_000);
    }
    long waiting = world.call("/once/x", Optional.empty(), 2_000);
    world.take(ForwardCall.class);

    world.ends(1, 1, ForwardResult.COMPLETED);

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(waiting);
  }

  /** Guards against a request that crashes one engine after the other. */
  @Test
  void refusesACallThatHasLostThreeEngines() {
    twoPlainEngines();
    for (int i = 0; i < 3; i++) {
      long id = world.call("/once/x", Optional.empty(), 1_000);
      world.ends(id, 1, ForwardResult.CONNECTION_LOST);
    }
    world.take(ReplyToCall.class);

    world.call("/once/x", Optional.empty(), 1_000);

    assertThat(world.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.CRASH_SUSPECT);
  }

  /** Guards against a ban on a request that many callers send alike and that engines answer. */
  @Test
  void forgetsLossesOfACallThatIsAnswered() {
    twoPlainEngines();
    for (int i = 0; i < 3; i++) {
      long lost = world.call("/once/x", Optional.empty(), 1_000);
      world.ends(lost, 1, ForwardResult.CONNECTION_LOST);
      long answered = world.call("/once/x", Optional.empty(), 1_000);
      world.ends(answered, 1, ForwardResult.COMPLETED);
    }
    world.take(ForwardCall.class);

    world.call("/once/x", Optional.empty(), 1_000);

    assertThat(world.take(ForwardCall.class)).hasSize(1);
  }

  /** Guards against refusals while the load balancer still sends callers after SIGTERM. */
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

  /** Guards against calls that go to an engine which does not hold their adapter. */
  @Test
  void asksTheHolderForAnAdapterThatNoEngineHolds() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(GatewayWorld.entry("g1", "llm", 1, 0, ModelKey.of("m1")));

    long id = world.call("/m/x", Optional.of(ModelKey.of("m1", "a1")), 10_000);

    assertThat(world.take(ForwardCall.class)).isEmpty();
    assertThat(world.gateway().waiting()).contains(id);
    assertThat(world.take(SendToPeer.class)).isEmpty();
  }

  /**
   * Guards against a stream that is broken off midway, because the engines that could go on with it
   * are full at the moment at which its engine fails.
   */
  @Test
  void letsAStreamWaitForAnEngineToGoOnWithIt() {
    world.routes(1, GatewayWorld.modelRoute("/chat/"));
    ModelKey model = ModelKey.of("m1");
    world.engines(
        GatewayWorld.entry("e1", "llm", 1, 0, model), GatewayWorld.entry("e2", "llm", 1, 0, model));
    for (int i = 0; i < 30; i++) {
      long id = world.call("/chat/x", Optional.of(model), 9_000);
      world.ends(id, 1, ForwardResult.COMPLETED);
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
      world.ends(calls[i], 1, ForwardResult.COMPLETED);
    }

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(calls[0]);
  }

  /**
   * Guards against a retry budget that each instance of a large fleet splits over the few others
   * that it hears, so that the sum exceeds what the deployment allows.
   */
  @Test
  void splitsTheRetryBudgetOverAllListedInstances() {
    List<ListedInstance> fleet = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      fleet.add(
          new ListedInstance(
              new InstanceId("node-" + i), "10.0.1." + i + ":1", new ZoneId("z"), "r", false));
    }
    world.reduce(new InstancesListed(world.nowMs(), fleet));
    twoPlainEngines();

    world.call("/safe/x", Optional.empty(), 1_000);

    double part = world.gateway().budgets().get("plain").maxAvailable();
    assertThat(part * fleet.size()).isAtMost(GatewayWorld.SETTINGS.retrySlack());
  }

  /**
   * Guards against a call that is refused at once, because the only engine that holds its model was
   * busy for a moment.
   */
  @Test
  void asksABusyEngineAgain() {
    world.routes(1, GatewayWorld.modelRoute("/chat/"));
    ModelKey model = ModelKey.of("m1");
    world.engines(GatewayWorld.entry("e1", "llm", 1, 0, model));
    for (int i = 0; i < 10; i++) {
      world.ends(world.call("/chat/x", Optional.of(model), 9_000), 1, ForwardResult.COMPLETED);
    }
    long other = world.call("/chat/x", Optional.of(model), 9_000);
    long id = world.call("/chat/x", Optional.of(model), 9_000);
    world.take(ForwardCall.class);

    world.ends(id, 1, ForwardResult.BUSY);
    assertThat(world.take(ReplyToCall.class)).isEmpty();
    world.advance(150);
    world.ends(other, 1, ForwardResult.COMPLETED);

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(id);
  }

  /** Guards against a call that stays at a silent engine without a line that says why. */
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

  /** Guards against a crest that makes all calls late that come after it. */
  @Test
  void sendsCallsThatAreStillInTimeFirst() {
    twoPlainEngines();
    long[] running = new long[16];
    for (int i = 0; i < running.length; i++) {
      running[i] = world.call("/once/x", Optional.empty(), 2_000);
    }
    world.call("/once/x", Optional.empty(), 2_000);
    world.advance(300);
    long inTime = world.call("/once/x", Optional.empty(), 2_000);
    world.take(ForwardCall.class);

    world.ends(running[0], 1, ForwardResult.COMPLETED);

    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(inTime);
  }

  /**
   * Guards against prompts that are sent to an engine that a neighbour slows: they make all its
   * streams late, while another engine that is busier could read them in time.
   */
  @Test
  void avoidsAnEngineWhoseStreamsHaveSlowedDown() {
    BackendId other = idleEngineThatSlowsDown();

    world.call("/chat/x", Optional.of(M1), 5_000);

    assertThat(world.take(ForwardCall.class).get(0).engine()).isNotEqualTo(other);
  }

  /** Guards against an engine that stays avoided after its neighbour has become quiet. */
  @Test
  void forgetsAnOldObservationOfThePace() {
    BackendId other = idleEngineThatSlowsDown();

    world.advance(1_300);
    world.call("/chat/x", Optional.of(M1), 5_000);

    assertThat(world.take(ForwardCall.class).get(0).engine()).isEqualTo(other);
  }
}
