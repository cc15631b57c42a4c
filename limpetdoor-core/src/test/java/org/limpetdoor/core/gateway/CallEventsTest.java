package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.ConnectionCloseReason;
import org.limpetdoor.core.decision.DecisionKind;
import org.limpetdoor.core.decision.RequestProgress;
import org.limpetdoor.core.effect.AbortCall;
import org.limpetdoor.core.effect.CancelForward;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.GatewayEffect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RelayErrorResponse;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.CallerConnectionClosed;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.limits.UseReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;

class CallEventsTest {
  private static final ModelKey M1 = ModelKey.of("m1");

  private final GatewayFixture fixture = new GatewayFixture();

  private void setUpTwoPlainEngines() {
    fixture.routes(
        1,
        GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 2),
        GatewayFixture.route("/once/", CallKind.AT_MOST_ONCE, 2),
        GatewayFixture.route("/stream/", CallKind.STREAM, 2));
    fixture.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
    fixture.take(ForwardCall.class);
  }

  /**
   * Sends a call to one of two model engines, slows the streams of the other one and returns it.
   */
  private BackendId slowedIdleEngine() {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    fixture.engines(
        GatewayFixture.entry("e1", "llm", 1, 0, M1), GatewayFixture.entry("e2", "llm", 1, 0, M1));
    fixture.call("/chat/x", Optional.of(M1), 5_000);
    BackendId busy = fixture.take(ForwardCall.class).get(0).engine();
    BackendId idle = new BackendId(busy.value().equals("e1") ? "e2" : "e1");
    fixture.reduce(new EnginePaceChanged(fixture.nowMs(), busy, 30));
    fixture.reduce(new EnginePaceChanged(fixture.nowMs(), idle, 110));
    return idle;
  }

  /** Completes as many calls as are needed to earn the given number of retries. */
  private void earnRetries(int retries) {
    for (int i = 0; i < retries * 5; i++) {
      long id = fixture.call("/safe/x", Optional.empty(), 1_000);
      fixture.endForward(id, 1, ForwardResult.COMPLETED);
    }
    fixture.take(ForwardCall.class);
  }

  /** Guards against a 404 response from an instance that has no configuration yet. */
  @Test
  void refusesAsNotRunWithoutConfiguration() {
    fixture.call("/safe/x", Optional.empty(), 1_000);

    assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.NO_CONFIGURATION);
  }

  /**
   * Guards against selecting the first matching route instead of the one with the longest prefix.
   */
  @Test
  void bindsToTheLongestPrefix() {
    fixture.routes(
        1,
        GatewayFixture.route("/a/", CallKind.IDEMPOTENT, 1),
        GatewayFixture.route("/a/b/", CallKind.AT_MOST_ONCE, 1));
    fixture.engines(GatewayFixture.plain("e1"));

    fixture.call("/a/b/c", Optional.empty(), 1_000);
    fixture.call("/a", Optional.empty(), 1_000);

    List<ForwardCall> sent = fixture.take(ForwardCall.class);
    assertThat(sent).hasSize(1);
    assertThat(sent.get(0).atMostOnce()).isTrue();
  }

  /** Guards against an engine deadline later than that of the caller or of the route. */
  @Test
  void forwardsTheEarlierDeadline() {
    setUpTwoPlainEngines();

    fixture.call("/safe/x", Optional.empty(), 900);
    fixture.call("/safe/x", Optional.empty(), 60_000);

    List<ForwardCall> sent = fixture.take(ForwardCall.class);
    assertThat(sent.get(0).timeLeftMs()).isEqualTo(900);
    assertThat(sent.get(1).timeLeftMs()).isEqualTo(2_000);
  }

  /** Guards against running an at-most-once call a second time. */
  @Test
  void neverSendsAnAtMostOnceCallAgainAfterItMayHaveRun() {
    setUpTwoPlainEngines();
    earnRetries(3);
    for (ForwardResult result :
        List.of(ForwardResult.CONNECTION_LOST, ForwardResult.INVALID_ANSWER)) {
      long id = fixture.call("/once/x", Optional.empty(), 1_000);
      fixture.take(ForwardCall.class);

      fixture.endForward(id, 1, result);

      assertThat(fixture.gateway().openCalls()).isEqualTo(0);
    }
    List<ReplyToCall> replies = fixture.take(ReplyToCall.class);
    assertThat(replies.get(replies.size() - 1).reply()).isEqualTo(Reply.OUTCOME_UNKNOWN);
  }

  /** Guards against failing a call that the engine reported as not run. */
  @Test
  void retriesAnAtMostOnceCallThatAnEngineDidNotRun() {
    setUpTwoPlainEngines();
    earnRetries(1);
    long id = fixture.call("/once/x", Optional.empty(), 1_000);
    ForwardCall first = fixture.take(ForwardCall.class).get(0);

    fixture.endForward(id, 1, ForwardResult.BUSY);

    ForwardCall second = fixture.take(ForwardCall.class).get(0);
    assertThat(second.engine()).isNotEqualTo(first.engine());
  }

  /** Guards against more retries than this instance has earned. */
  @Test
  void limitsRetriesToTheEarnedBudget() {
    setUpTwoPlainEngines();
    earnRetries(2);
    int retries = 0;
    for (int i = 0; i < 10; i++) {
      long id = fixture.call("/safe/x", Optional.empty(), 1_000);
      fixture.take(ForwardCall.class);
      fixture.endForward(id, 1, ForwardResult.CONNECTION_LOST);
      retries += fixture.take(ForwardCall.class).size();
      fixture.reduce(new CallCancelled(fixture.nowMs(), id));
    }

    // The 10 calls before and the 10 calls here earn 4 retries at a ratio of 0.2.
    assertThat(retries).isAtMost(4);
    assertThat(retries).isAtLeast(2);
  }

  /** Guards against an idempotent call that runs on more engines than its route allows. */
  @Test
  void stopsAtTheMaxAttemptsOfTheRoute() {
    setUpTwoPlainEngines();
    fixture.engines(GatewayFixture.plain("e3"));
    earnRetries(4);
    long id = fixture.call("/safe/x", Optional.empty(), 1_000);
    fixture.endForward(id, 1, ForwardResult.CONNECTION_LOST);
    fixture.take(ForwardCall.class);

    fixture.endForward(id, 2, ForwardResult.CONNECTION_LOST);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
    assertThat(fixture.gateway().openCalls()).isEqualTo(0);
  }

  /** Guards against replacing an engine's error response with a reply of the instance. */
  @Test
  void relaysAnEngineErrorWhenNoRetryIsLeft() {
    setUpTwoPlainEngines();
    long id = fixture.call("/once/x", Optional.empty(), 1_000);

    fixture.endForward(id, 1, ForwardResult.ERROR_ANSWER);

    assertThat(fixture.take(RelayErrorResponse.class))
        .containsExactly(new RelayErrorResponse(id, 1));
  }

  /** Guards against a stream that looks complete although the connection to its engine was lost. */
  @Test
  void abortsAStreamThatCannotBeResumed() {
    fixture.routes(1, GatewayFixture.route("/stream/", CallKind.STREAM, 1));
    fixture.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
    long id = fixture.call("/stream/x", Optional.empty(), 1_000);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));

    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));

    assertThat(fixture.take(AbortCall.class)).containsExactly(new AbortCall(id));
  }

  /** Guards against a stream that looks complete although no other engine could resume it. */
  @Test
  void abortsAStreamThatIsNotResumedInTime() {
    setUpTwoPlainEngines();
    long id = breakOffStream();

    fixture.advance(2_000);

    assertThat(fixture.take(AbortCall.class)).containsExactly(new AbortCall(id));
  }

  /** Guards against ending the attempt at a silent engine when no retry is left. */
  @Test
  void keepsASilentAttemptWhenNoRetryIsLeft() {
    setUpTwoPlainEngines();
    long id = fixture.call("/stream/x", Optional.empty(), 1_000);
    fixture.take(ForwardCall.class);

    fixture.reduce(new ForwardSilent(fixture.nowMs(), id, 1));

    assertThat(fixture.take(CancelForward.class)).isEmpty();
    assertThat(fixture.gateway().openCalls()).isEqualTo(1);
  }

  /** Guards against two engines running the same call at the same time. */
  @Test
  void cancelsTheSilentAttemptBeforeSendingTheNext() {
    setUpTwoPlainEngines();
    earnRetries(1);
    long id = fixture.call("/stream/x", Optional.empty(), 1_000);
    fixture.take(ForwardCall.class);

    fixture.reduce(new ForwardSilent(fixture.nowMs(), id, 1));

    List<GatewayEffect> effects = fixture.take(GatewayEffect.class);
    assertThat(effects.get(0)).isEqualTo(new CancelForward(id, 1));
    assertThat(effects.get(1)).isInstanceOf(ForwardCall.class);
  }

  /** Guards against completing a call by the late end of an earlier attempt. */
  @Test
  void ignoresTheEndOfASupersededAttempt() {
    setUpTwoPlainEngines();
    earnRetries(1);
    long id = fixture.call("/stream/x", Optional.empty(), 1_000);
    fixture.reduce(new ForwardSilent(fixture.nowMs(), id, 1));
    fixture.take(ForwardCall.class);

    fixture.endForward(id, 1, ForwardResult.COMPLETED);

    assertThat(fixture.gateway().openCalls()).isEqualTo(1);
  }

  /** Guards against a call that stays open beyond the timeout of its route. */
  @Test
  void failsACallAtTheTimeoutOfItsRoute() {
    setUpTwoPlainEngines();
    long id = fixture.call("/once/x", Optional.empty(), 60_000);

    fixture.advance(2_000);

    assertThat(fixture.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.TIMED_OUT, 0));
  }

  /** Guards against an engine that keeps running a call whose caller has disconnected. */
  @Test
  void cancelsTheAttemptOfADisconnectedCaller() {
    setUpTwoPlainEngines();
    long id = fixture.call("/safe/x", Optional.empty(), 1_000);
    fixture.take(ForwardCall.class);

    fixture.reduce(new CallCancelled(fixture.nowMs(), id));

    assertThat(fixture.take(CancelForward.class)).containsExactly(new CancelForward(id, 1));
  }

  /** Guards against a call that waits indefinitely while all engines are full. */
  @Test
  void refusesACallWhenAllEnginesStayFull() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 16; i++) {
      fixture.call("/once/x", Optional.empty(), 2_000);
    }
    fixture.take(ForwardCall.class);
    long id = fixture.call("/once/x", Optional.empty(), 2_000);

    fixture.advance(1_000);

    assertThat(fixture.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.ENGINES_FULL, 1_200));
  }

  /** Guards against a waiting call that is not sent when an engine becomes available. */
  @Test
  void sendsAWaitingCallWhenAnEngineBecomesAvailable() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 16; i++) {
      fixture.call("/once/x", Optional.empty(), 2_000);
    }
    long waiting = fixture.call("/once/x", Optional.empty(), 2_000);
    fixture.take(ForwardCall.class);

    fixture.endForward(1, 1, ForwardResult.COMPLETED);

    assertThat(fixture.take(ForwardCall.class).get(0).call()).isEqualTo(waiting);
  }

  /**
   * Guards against sending calls again and again to engines that reject them, which uses up the
   * retries of the deployment.
   */
  @Test
  void callsWaitWhileAllEnginesRejectThem() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 2; i++) {
      long id = fixture.call("/once/x", Optional.empty(), 2_000);
      fixture.endForward(id, 1, ForwardResult.BUSY);
    }
    fixture.take(ForwardCall.class);

    long waiting = fixture.call("/once/x", Optional.empty(), 2_000);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
    assertThat(fixture.gateway().waiting()).contains(waiting);
  }

  /** Guards against a repeated request that crashes one engine after another. */
  @Test
  void refusesARequestAfterThreeLostConnections() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 3; i++) {
      long id = fixture.call("/once/x", Optional.empty(), 1_000);
      fixture.endForward(id, 1, ForwardResult.CONNECTION_LOST);
    }
    fixture.take(ReplyToCall.class);

    fixture.call("/once/x", Optional.empty(), 1_000);

    assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.CRASH_SUSPECT);
  }

  /** Guards against refusing a request for crashes of engines that had not read it. */
  @Test
  void servesARequestThatLostEnginesHadNotAccepted() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 5; i++) {
      long id = fixture.call("/once/x", Optional.empty(), 1_000);
      fixture.endForward(id, 1, ForwardResult.REQUEST_CUT);
    }
    fixture.take(ForwardCall.class);

    fixture.call("/once/x", Optional.empty(), 1_000);

    assertThat(fixture.take(ForwardCall.class)).hasSize(1);
  }

  /** Guards against a long request that crashes engines without end before they have read it. */
  @Test
  void refusesARequestThatEnginesDidNotAcceptAfterSixLosses() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 6; i++) {
      long id = fixture.call("/once/x", Optional.empty(), 1_000);
      fixture.endForward(id, 1, ForwardResult.REQUEST_CUT);
    }
    fixture.take(ReplyToCall.class);

    fixture.call("/once/x", Optional.empty(), 1_000);

    assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.CRASH_SUSPECT);
  }

  /**
   * Guards against refusing a common request because of connections lost for other reasons,
   * although engines also answer it.
   */
  @Test
  void clearsTheLossesOfAnAnsweredRequest() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 3; i++) {
      long lost = fixture.call("/once/x", Optional.empty(), 1_000);
      fixture.endForward(lost, 1, ForwardResult.CONNECTION_LOST);
      long answered = fixture.call("/once/x", Optional.empty(), 1_000);
      fixture.endForward(answered, 1, ForwardResult.COMPLETED);
    }
    fixture.take(ForwardCall.class);

    fixture.call("/once/x", Optional.empty(), 1_000);

    assertThat(fixture.take(ForwardCall.class)).hasSize(1);
  }

  /** Guards against refusing calls that the load balancer still sends shortly after SIGTERM. */
  @Test
  void acceptsCallsForAWhileAfterTheShutdownBegins() {
    setUpTwoPlainEngines();
    fixture.reduce(new DrainRequested(fixture.nowMs(), 7_000));
    fixture.take(ForwardCall.class);

    fixture.call("/safe/x", Optional.empty(), 1_000);
    assertThat(fixture.take(ForwardCall.class)).hasSize(1);

    fixture.advance(3_000);
    fixture.take(ReplyToCall.class);
    fixture.call("/safe/x", Optional.empty(), 1_000);
    assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.SHUTTING_DOWN);
  }

  /** Guards against sending a call to an engine that does not have its adapter loaded. */
  @Test
  void keepsACallWaitingForAnAdapterThatNoEngineHolds() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 0, ModelKey.of("m1")));

    long id = fixture.call("/m/x", Optional.of(ModelKey.of("m1", "a1")), 10_000);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
    assertThat(fixture.gateway().waiting()).contains(id);
    assertThat(fixture.take(SendToPeer.class)).isEmpty();
  }

  /**
   * Guards against aborting a stream because all engines that could resume it are full at the
   * moment when its engine fails.
   */
  @Test
  void queuesAnInterruptedStreamUntilAnEngineIsAvailable() {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    ModelKey model = ModelKey.of("m1");
    fixture.engines(
        GatewayFixture.entry("e1", "llm", 1, 0, model),
        GatewayFixture.entry("e2", "llm", 1, 0, model));
    for (int i = 0; i < 30; i++) {
      long id = fixture.call("/chat/x", Optional.of(model), 9_000);
      fixture.endForward(id, 1, ForwardResult.COMPLETED);
    }
    long[] calls = new long[8];
    for (int i = 0; i < calls.length; i++) {
      calls[i] = fixture.call("/chat/x", Optional.of(model), 9_000);
    }
    fixture.advance(2_500);
    fixture.take(ForwardCall.class);

    fixture.reduce(
        new ForwardEnded(fixture.nowMs(), calls[0], 1, ForwardResult.CONNECTION_LOST, true));
    assertThat(fixture.take(AbortCall.class)).isEmpty();
    for (int i = 1; i < calls.length; i++) {
      fixture.endForward(calls[i], 1, ForwardResult.COMPLETED);
    }

    assertThat(fixture.take(ForwardCall.class).get(0).call()).isEqualTo(calls[0]);
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
    fixture.reduce(new InstancesListed(fixture.nowMs(), fleet));
    setUpTwoPlainEngines();

    fixture.call("/safe/x", Optional.empty(), 1_000);

    double share = fixture.gateway().budgets().get("plain").maxAvailable();
    assertThat(share * fleet.size()).isAtMost(GatewayFixture.SETTINGS.retrySlack());
  }

  /**
   * Guards against refusing a call because the only engine with its model loaded was full for a
   * moment.
   */
  @Test
  void retriesABusyEngine() {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    ModelKey model = ModelKey.of("m1");
    fixture.engines(GatewayFixture.entry("e1", "llm", 1, 0, model));
    for (int i = 0; i < 10; i++) {
      fixture.endForward(
          fixture.call("/chat/x", Optional.of(model), 9_000), 1, ForwardResult.COMPLETED);
    }
    long other = fixture.call("/chat/x", Optional.of(model), 9_000);
    long id = fixture.call("/chat/x", Optional.of(model), 9_000);
    fixture.take(ForwardCall.class);

    fixture.endForward(id, 1, ForwardResult.BUSY);
    assertThat(fixture.take(ReplyToCall.class)).isEmpty();
    fixture.advance(150);
    fixture.endForward(other, 1, ForwardResult.COMPLETED);

    assertThat(fixture.take(ForwardCall.class).get(0).call()).isEqualTo(id);
  }

  /** Guards against keeping a call at a silent engine without logging the reason. */
  @Test
  void recordsWhyASilentAttemptIsKept() {
    setUpTwoPlainEngines();
    long id = fixture.call("/once/x", Optional.empty(), 1_000);

    fixture.reduce(new ForwardSilent(fixture.nowMs(), id, 1));

    List<String> lines =
        fixture.take(RecordDecision.class).stream()
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
    setUpTwoPlainEngines();
    long[] running = new long[16];
    for (int i = 0; i < running.length; i++) {
      running[i] = fixture.call("/once/x", Optional.empty(), 2_000);
    }
    fixture.call("/once/x", Optional.empty(), 2_000);
    fixture.advance(300);
    long inTime = fixture.call("/once/x", Optional.empty(), 2_000);
    fixture.take(ForwardCall.class);

    fixture.endForward(running[0], 1, ForwardResult.COMPLETED);

    assertThat(fixture.take(ForwardCall.class).get(0).call()).isEqualTo(inTime);
  }

  /**
   * Guards against sending prompts to an engine that is slowed down by a neighbouring workload.
   * They would delay all its streams, while a busier engine could process them in time.
   */
  @Test
  void avoidsAnEngineWhoseStreamsHaveSlowedDown() {
    BackendId slowedEngine = slowedIdleEngine();

    fixture.call("/chat/x", Optional.of(M1), 5_000);

    assertThat(fixture.take(ForwardCall.class).get(0).engine()).isNotEqualTo(slowedEngine);
  }

  /** Guards against avoiding an engine after the load of its neighbour has ended. */
  @Test
  void ignoresAnExpiredPaceObservation() {
    BackendId slowedEngine = slowedIdleEngine();

    fixture.advance(1_300);
    fixture.call("/chat/x", Optional.of(M1), 5_000);

    assertThat(fixture.take(ForwardCall.class).get(0).engine()).isEqualTo(slowedEngine);
  }

  /** Returns the fields of the last line about a failed call. */
  private String failureFields() {
    List<String> lines = decisions(DecisionKind.CALL_REFUSED);
    return lines.get(lines.size() - 1);
  }

  private List<String> decisions(DecisionKind kind) {
    return fixture.take(RecordDecision.class).stream()
        .map(effect -> effect.decision())
        .filter(decision -> decision.kind() == kind)
        .map(decision -> decision.fields().toString())
        .toList();
  }

  /** Starts a stream and breaks it off after its first event. */
  private long breakOffStream() {
    long id = fixture.call("/stream/x", Optional.empty(), 2_000);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    return id;
  }

  /** Guards against an aborted stream whose line does not tell that all engines were tried. */
  @Test
  void recordsThatNoUntriedEngineIsLeft() {
    fixture.routes(
        1,
        GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 2),
        GatewayFixture.route("/stream/", CallKind.STREAM, 2));
    fixture.engines(GatewayFixture.plain("e1"));
    earnRetries(1);

    breakOffStream();

    String fields = failureFields();
    assertThat(fields).contains("key=cause, value=no_untried_engine");
    assertThat(fields).contains("key=retries_left, value=1");
    assertThat(fields).contains("key=time_left_ms, value=2000");
  }

  /**
   * Guards against an aborted stream whose line does not tell that its route allows no more runs.
   */
  @Test
  void recordsThatTheRouteAllowsNoFurtherRun() {
    fixture.routes(1, GatewayFixture.route("/stream/", CallKind.STREAM, 1));
    fixture.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));

    breakOffStream();

    assertThat(failureFields()).contains("key=cause, value=no_run_left");
  }

  /** Guards against an aborted stream whose line does not tell that its deadline passed. */
  @Test
  void recordsThatTheDeadlinePassed() {
    setUpTwoPlainEngines();
    long id = fixture.call("/stream/x", Optional.empty(), 2_000);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));

    fixture.advance(2_000);

    assertThat(failureFields()).contains("key=cause, value=expired");
  }

  /** Guards against a connection that is closed during a call without a line about the reason. */
  @Test
  void recordsWhyTheConnectionOfAnOpenCallWasClosed() {
    setUpTwoPlainEngines();
    long id = fixture.call("/stream/x", Optional.empty(), 2_000);

    fixture.reduce(
        new CallerConnectionClosed(
            fixture.nowMs(),
            OptionalLong.of(id),
            ConnectionCloseReason.IDLE_TIMEOUT,
            RequestProgress.OPEN));

    String fields = decisions(DecisionKind.CALLER_CLOSED).get(0);
    assertThat(fields).contains("key=route, value=r/stream/");
    assertThat(fields).contains("key=reason, value=idle_timeout");
    assertThat(fields).contains("key=request, value=open");
  }

  /** Lists model engines and earns retries at them. */
  private void setUpModelEngines(int engines) {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    EngineEntry[] entries = new EngineEntry[engines];
    for (int i = 0; i < engines; i++) {
      entries[i] = GatewayFixture.entry("e" + i, "llm", 1, 0, M1);
    }
    fixture.engines(entries);
    for (int i = 0; i < 30; i++) {
      long id = fixture.call("/chat/x", Optional.of(M1), 10_000);
      fixture.endForward(id, 1, ForwardResult.COMPLETED);
    }
    fixture.take(ForwardCall.class);
  }

  private BackendId startStream() {
    long id = fixture.call("/chat/x", Optional.of(M1), 10_000);
    BackendId engine = fixture.take(ForwardCall.class).get(0).engine();
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    return engine;
  }

  /**
   * Guards against ending a stream that has begun because all other engines were full at the same
   * moment and have refused to resume it without running it.
   */
  @Test
  void resumesAStreamAtAnEngineThatRefusedItBefore() {
    setUpModelEngines(3);
    BackendId broken = startStream();
    long id = 31;
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 2, ForwardResult.BUSY, true));

    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 3, ForwardResult.BUSY, true));
    assertThat(fixture.take(AbortCall.class)).isEmpty();
    fixture.advance(100);

    List<ForwardCall> resumed = fixture.take(ForwardCall.class);
    assertThat(resumed).hasSize(1);
    assertThat(resumed.get(0).call()).isEqualTo(id);
    assertThat(resumed.get(0).engine()).isNotEqualTo(broken);
  }

  /** Guards against a waiting call that is not sent when the only engine stops rejecting calls. */
  @Test
  void sendsAWaitingCallOnceAnEngineIsNoLongerTakenToBeFull() {
    setUpModelEngines(1);
    long id = fixture.call("/chat/x", Optional.of(M1), 10_000);
    fixture.advance(200);
    fixture.endForward(id, 1, ForwardResult.BUSY);
    fixture.take(ForwardCall.class);

    fixture.advance(100);

    assertThat(fixture.take(ForwardCall.class)).hasSize(1);
  }

  /** Lists two full engines with one model and breaks off a stream at the first one. */
  private long interruptStreamWhileEnginesAreFull() {
    setUpModelEngines(2);
    long id = 0;
    for (int i = 0; i < 8; i++) {
      id = fixture.call("/chat/x", Optional.of(M1), 10_000);
      fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    }
    fixture.advance(500);
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    fixture.take(ForwardCall.class);
    return id;
  }

  /** Guards against ending an interrupted stream while its caller would still accept the pause. */
  @Test
  void waitsForAsLongAsTheCallerOfAStreamAcceptsAPause() {
    long id = interruptStreamWhileEnginesAreFull();

    fixture.advance(1_590);
    assertThat(fixture.gateway().waiting()).contains(id);

    fixture.advance(10);
    assertThat(fixture.take(AbortCall.class)).containsExactly(new AbortCall(id));
  }

  /** Guards against a pause that grows with each engine that refuses to resume a stream. */
  @Test
  void measuresTheWaitOfAStreamFromItsInterruption() {
    setUpModelEngines(2);
    startStream();
    long id = 31;
    long interruptedAtMs = fixture.nowMs();
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    while (fixture.gateway().openCalls() > 0) {
      int attempt = fixture.gateway().calls().get(id).triedEngines().size();
      fixture.reduce(new ForwardEnded(fixture.nowMs(), id, attempt, ForwardResult.BUSY, true));
      fixture.advance(100);
    }

    assertThat(fixture.take(AbortCall.class)).containsExactly(new AbortCall(id));
    assertThat(fixture.nowMs() - interruptedAtMs).isAtMost(1_700);
  }

  /** Breaks off a stream at one of two model engines before any retry is earned. */
  private long interruptStreamWithoutRetries() {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    fixture.engines(
        GatewayFixture.entry("e1", "llm", 1, 0, M1), GatewayFixture.entry("e2", "llm", 1, 0, M1));
    startStream();
    fixture.reduce(new ForwardEnded(fixture.nowMs(), 1, 1, ForwardResult.CONNECTION_LOST, true));
    return 1;
  }

  /** Guards against ending a begun stream because the retry budget is empty for a moment. */
  @Test
  void resumesAStreamWhenArrivalsHaveFilledTheRetryBudget() {
    long id = interruptStreamWithoutRetries();

    for (int i = 0; i < 5; i++) {
      fixture.call("/chat/x", Optional.of(M1), 10_000);
    }

    List<ForwardCall> resumed =
        fixture.take(ForwardCall.class).stream().filter(sent -> sent.call() == id).toList();
    assertThat(resumed).hasSize(1);
    assertThat(fixture.gateway().budgets().get("llm").available()).isLessThan(1.0);
  }

  /**
   * Guards against more retries than the budget allows, and against a stream that waits forever.
   */
  @Test
  void endsAStreamWhoseRetryBudgetStaysEmpty() {
    long id = interruptStreamWithoutRetries();

    fixture.advance(1_590);
    assertThat(fixture.gateway().waiting()).contains(id);
    fixture.advance(10);

    assertThat(failureFields()).contains("key=cause, value=retry_budget_empty");
    assertThat(fixture.gateway().openCalls()).isEqualTo(0);
  }

  /** Guards against a begun stream that waits behind calls that have not begun. */
  @Test
  void resumesAStreamBeforeOtherWaitingCalls() {
    long id = interruptStreamWhileEnginesAreFull();
    fixture.call("/chat/x", Optional.of(M1), 10_000);
    fixture.call("/chat/x", Optional.of(M1), 10_000);
    fixture.take(ForwardCall.class);

    for (long other = id - 7; other < id; other++) {
      fixture.endForward(other, 1, ForwardResult.COMPLETED);
      List<ForwardCall> sent = fixture.take(ForwardCall.class);
      if (sent.stream().anyMatch(forward -> forward.call() == id)) {
        return;
      }
      assertThat(sent).isEmpty();
    }
    throw new AssertionError("the stream was not resumed");
  }

  /** Guards against a begun stream that a new configuration cuts or moves. */
  @Test
  void keepsTheRouteOfABegunStreamWhenTheConfigurationChanges() {
    setUpModelEngines(2);
    startStream();
    long id = 31;

    fixture.routes(2, GatewayFixture.route("/other/", CallKind.IDEMPOTENT, 1));
    fixture.advance(3_000);
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));

    assertThat(fixture.take(ForwardCall.class).get(0).call()).isEqualTo(id);
  }

  /** Guards against a connection that is closed without an answer because the process ends. */
  @Test
  void answersWaitingCallsBeforeTheShutdownTimesOut() {
    setUpTwoPlainEngines();
    fixture.reduce(new DrainRequested(fixture.nowMs(), 500));
    for (int i = 0; i < 16; i++) {
      fixture.call("/once/x", Optional.empty(), 2_000);
    }
    long waiting = fixture.call("/once/x", Optional.empty(), 2_000);

    fixture.advance(500);

    List<ReplyToCall> replies = fixture.take(ReplyToCall.class);
    assertThat(replies.stream().filter(reply -> reply.call() == waiting).toList())
        .containsExactly(new ReplyToCall(waiting, Reply.SHUTTING_DOWN, 0));
    assertThat(replies.stream().filter(reply -> reply.reply().notRun()).count()).isEqualTo(1);
  }

  /** Guards against a call at an engine whose caller gets no answer because the process ends. */
  @Test
  void answersCallsAtEnginesWhenTheShutdownTimesOut() {
    setUpTwoPlainEngines();
    long id = fixture.call("/once/x", Optional.empty(), 2_000);
    fixture.reduce(new DrainRequested(fixture.nowMs(), 500));

    fixture.advance(500);

    assertThat(fixture.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.OUTCOME_UNKNOWN, 0));
    assertThat(fixture.gateway().calls()).isEmpty();
  }

  /** Guards against a call that is sent late in a shutdown and cut by the end of the process. */
  @Test
  void refusesWaitingCallsWhenAShutdownStopsAcceptingOthers() {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    fixture.engines(GatewayFixture.entry("e0", "llm", 1, 0, M1));
    for (int i = 0; i < 4; i++) {
      fixture.call("/chat/x", Optional.of(M1), 10_000);
      fixture.advance(130);
    }
    fixture.reduce(new DrainRequested(fixture.nowMs(), 7_000));
    fixture.advance(2_500);
    long waiting = fixture.call("/chat/x", Optional.of(M1), 10_000);
    fixture.take(ForwardCall.class);

    fixture.advance(700);
    assertThat(fixture.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(waiting, Reply.SHUTTING_DOWN, 0));
    fixture.endForward(1, 1, ForwardResult.COMPLETED);
    assertThat(fixture.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against a call that may not be repeated and is sent again late in a shutdown. */
  @Test
  void doesNotSendARefusedCallAgainLateInAShutdown() {
    setUpTwoPlainEngines();
    for (int i = 0; i < 40; i++) {
      fixture.endForward(
          fixture.call("/safe/x", Optional.empty(), 1_000), 1, ForwardResult.COMPLETED);
    }
    fixture.reduce(new DrainRequested(fixture.nowMs(), 7_000));
    fixture.advance(2_800);
    long id = fixture.call("/once/x", Optional.empty(), 2_000);
    fixture.take(ForwardCall.class);
    fixture.advance(150);

    fixture.endForward(id, 1, ForwardResult.BUSY);

    assertThat(fixture.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.SHUTTING_DOWN, 0));
  }

  private void peerLoad(String engine, int inFlight) {
    fixture.reduce(
        new PeerMessageReceived(
            fixture.nowMs(),
            new InstanceId("node-2"),
            new LoadDigest(
                DigestScope.GROUP,
                new DigestTimes(fixture.nowMs(), 0),
                new StoreFacts(1, new StorePosition(0, 0), true, 0),
                0,
                HashTreePMap.singleton(new BackendId(engine), inFlight),
                HashTreePMap.empty(),
                HashTreePSet.empty(),
                HashTreePMap.empty(),
                UseReport.NONE,
                List.of())));
  }

  /** Guards against a call that waits although the calls of peers have left its engine. */
  @Test
  void sendsAWaitingCallWhenPeersNoLongerFillItsEngine() {
    setUpModelEngines(1);
    fixture.peerDigest("node-2", true, 0);
    peerLoad("e0", 4);
    long id = fixture.call("/chat/x", Optional.of(M1), 10_000);
    fixture.advance(300);
    assertThat(fixture.gateway().waiting()).contains(id);

    peerLoad("e0", 0);
    fixture.advance(250);

    assertThat(fixture.gateway().waiting()).isEmpty();
  }

  /** Guards against ending a begun stream because the engine that resumes it answers an error. */
  @Test
  void keepsAStreamWhoseResumptionGetsAnErrorWhileAnotherEngineIsFull() {
    setUpModelEngines(3);
    Route chat = GatewayFixture.modelRoute("/chat/");
    fixture.routes(
        2,
        new Route(
            chat.name(),
            chat.host(),
            chat.pathPrefix(),
            chat.kind(),
            chat.timeoutMs(),
            chat.targetLatencyMs(),
            3,
            chat.priority(),
            chat.resumable(),
            chat.maxGapMs(),
            chat.anonymousAccess(),
            chat.services()));
    startStream();
    long id = 31;
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 2, ForwardResult.BUSY, true));
    fixture.take(ForwardCall.class);

    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 3, ForwardResult.ERROR_ANSWER, true));
    assertThat(fixture.take(RelayErrorResponse.class)).isEmpty();
    fixture.advance(100);

    assertThat(fixture.take(ForwardCall.class)).hasSize(1);
  }

  /** Guards against a refused call that is held until its wait ends although no retry is left. */
  @Test
  void answersARefusedCallOnceTheRetryBudgetIsSpent() {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    fixture.engines(GatewayFixture.entry("e0", "llm", 1, 0, M1));
    for (int i = 0; i < 5; i++) {
      fixture.endForward(
          fixture.call("/chat/x", Optional.of(M1), 10_000), 1, ForwardResult.COMPLETED);
    }
    long first = fixture.call("/chat/x", Optional.of(M1), 10_000);
    long second = fixture.call("/chat/x", Optional.of(M1), 10_000);
    fixture.endForward(first, 1, ForwardResult.BUSY);
    fixture.endForward(second, 1, ForwardResult.BUSY);

    fixture.advance(350);

    List<ReplyToCall> replies = fixture.take(ReplyToCall.class);
    assertThat(replies).hasSize(1);
    assertThat(replies.get(0).reply().notRun()).isTrue();
  }

  /** Guards against sending a call again without end to engines that turn out to be closed. */
  @Test
  void waitsBeforeItSendsACallToAClosedEngineAgain() {
    setUpModelEngines(2);
    long id = fixture.call("/chat/x", Optional.of(M1), 10_000);
    for (int attempt = 1; fixture.gateway().waiting().isEmpty() && attempt < 10; attempt++) {
      fixture.endForward(id, attempt, ForwardResult.ENGINE_CLOSED);
    }

    assertThat(fixture.take(ForwardCall.class).size()).isAtMost(2);
  }
}
