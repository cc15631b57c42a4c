package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.decision.DecisionKind;
import org.limpetdoor.core.effect.AbortCall;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.InspectEngine;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.effect.SendEngineOrder;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePSet;

/** Tests that an engine that refuses with a Retry-After delay gets nothing until it has passed. */
class ClosedEngineTest {
  private static final BackendId E1 = new BackendId("e1");
  private static final BackendId E2 = new BackendId("e2");
  private static final ModelKey M1 = ModelKey.of("m1");
  private static final ModelKey M2 = ModelKey.of("m2");
  private static final ModelKey M3 = ModelKey.of("m3");

  /** Shorter than calls with a time limit of 2 s wait. */
  private static final long SHORT_MS = 700;

  /** Longer than calls with a time limit of 2 s wait. */
  private static final long LONG_MS = 30_000;

  private final GatewayFixture fixture = new GatewayFixture();

  @BeforeEach
  void setUpTwoEngines() {
    fixture.routes(
        1,
        GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 3),
        GatewayFixture.route("/stream/", CallKind.STREAM, 3));
    fixture.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
    // Entries that are removed later than this are dropped at once.
    fixture.advance(5_000);
    for (int i = 0; i < 50; i++) {
      long id = call();
      fixture.endForward(id, 1, ForwardResult.COMPLETED);
    }
    fixture.take(ForwardCall.class);
  }

  private long call() {
    return fixture.call("/safe/x", Optional.empty(), 2_000);
  }

  private void removeSecondEngine() {
    fixture.engineList(List.of(), List.of(E2), false);
  }

  private void stateClosed(String engine, long startedAtMs, long closedMs) {
    fixture.reduce(
        new EngineNoticeReceived(
            fixture.nowMs(),
            new BackendId(engine),
            startedAtMs,
            new EngineNotice(false, closedMs)));
  }

  /** Refuses the attempt of a call at an engine in the same way as an engine does. */
  private void refuse(long call, int attempt, String engine, long closedMs) {
    stateClosed(engine, 1, closedMs);
    fixture.endForward(call, attempt, ForwardResult.BUSY);
  }

  private List<BackendId> engines(List<ForwardCall> sent) {
    return sent.stream().map(ForwardCall::engine).toList();
  }

  /** Guards against calls and retries at an engine that has asked for a pause. */
  @Test
  void theOtherEngineGetsAllCalls() {
    long id = call();
    BackendId first = fixture.take(ForwardCall.class).get(0).engine();
    refuse(id, 1, first.value(), SHORT_MS);
    // Longer than the estimate for an engine that has rejected one call.
    fixture.advance(200);
    for (int i = 0; i < 4; i++) {
      call();
    }

    List<BackendId> used = engines(fixture.take(ForwardCall.class));
    assertThat(used).hasSize(5);
    assertThat(used).doesNotContain(first);
  }

  /** Guards against an engine that stays unused after the time has passed. */
  @Test
  void theEngineGetsCallsAgainWhenTheTimeHasPassed() {
    removeSecondEngine();
    stateClosed("e1", 1, SHORT_MS);
    fixture.advance(SHORT_MS);

    call();

    assertThat(engines(fixture.take(ForwardCall.class))).containsExactly(E1);
  }

  /** Guards against waiting calls that nothing serves when the time ends, or that go too early. */
  @Test
  void waitingCallsAreServedWhenTheTimeEnds() {
    removeSecondEngine();
    long first = call();
    fixture.take(ForwardCall.class);
    refuse(first, 1, "e1", SHORT_MS);
    for (int i = 0; i < 9; i++) {
      call();
    }
    fixture.advance(SHORT_MS - 1);
    assertThat(fixture.take(ForwardCall.class)).isEmpty();
    assertThat(fixture.gateway().waitingCalls()).isEqualTo(10);

    fixture.advance(1);

    // A plain engine of four slots gets at most eight calls at a time.
    List<ForwardCall> sent = fixture.take(ForwardCall.class);
    assertThat(sent).hasSize(8);
    assertThat(fixture.gateway().waitingCalls()).isEqualTo(2);
    fixture.endForward(sent.get(0).call(), sent.get(0).attempt(), ForwardResult.COMPLETED);
    assertThat(fixture.take(ForwardCall.class)).hasSize(1);
  }

  /** Guards against more calls in a row if the engine closes again at the end of the time. */
  @Test
  void aBurstIsHeldBackAgainWhenTheEngineClosesAgain() {
    removeSecondEngine();
    stateClosed("e1", 1, SHORT_MS);
    for (int i = 0; i < 10; i++) {
      call();
    }
    fixture.advance(SHORT_MS);
    List<ForwardCall> sent = fixture.take(ForwardCall.class);

    for (ForwardCall refused : sent) {
      refuse(refused.call(), refused.attempt(), "e1", 200);
    }

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
    fixture.advance(199);
    assertThat(fixture.take(ForwardCall.class)).isEmpty();
    fixture.advance(1);
    assertThat(fixture.take(ForwardCall.class)).isNotEmpty();
  }

  /** Guards against the estimate of a full engine that outlasts the time that it has stated. */
  @Test
  void theStatedTimeReplacesTheEstimateOfAFullEngine() {
    removeSecondEngine();
    // Four rejections in a row are taken to mean that the engine is full for 800 ms.
    long id = call();
    for (int attempt = 1; attempt <= 4; attempt++) {
      refuse(id, attempt, "e1", 50);
      fixture.advance(50);
      assertThat(engines(fixture.take(ForwardCall.class))).contains(E1);
    }
  }

  /** Guards against closing an engine that asks for no pause. */
  @Test
  void aTimeOfZeroClosesNothing() {
    removeSecondEngine();
    long id = call();
    fixture.take(ForwardCall.class);

    refuse(id, 1, "e1", 0);
    fixture.advance(150);
    call();

    assertThat(engines(fixture.take(ForwardCall.class))).contains(E1);
  }

  /** Guards against a call that waits although no engine opens before it is refused. */
  @Test
  void refusesAtOnceWhatCannotBeServedInTime() {
    stateClosed("e1", 1, LONG_MS);
    stateClosed("e2", 1, 1_100);
    fixture.take(ReplyToCall.class);

    long hopeless = call();

    List<ReplyToCall> replies = fixture.take(ReplyToCall.class);
    // A caller with 2 s left is willing to stay away for a third of that.
    assertThat(replies).containsExactly(new ReplyToCall(hopeless, Reply.ENGINES_CLOSED, 2_000 / 3));
    assertThat(replies.get(0).reply().notRun()).isTrue();
    assertThat(fixture.gateway().openCalls()).isEqualTo(0);
  }

  /** Guards against a time to return that does not follow the engine that opens first. */
  @Test
  void theTimeToReturnIsThatOfTheEarliestEngine() {
    fixture.routes(2, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1), GatewayFixture.entry("g2", "llm", 1, 0, M1));
    stateClosed("g1", 1, 1_400);
    stateClosed("g2", 1, LONG_MS);
    fixture.take(ReplyToCall.class);

    long id = fixture.call("/m/x", Optional.of(M1), 10_000);

    assertThat(fixture.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.ENGINES_CLOSED, 1_400));
  }

  /** Guards against a call that was waiting already and keeps waiting in vain. */
  @Test
  void refusesWaitingCallsOnceTheEngineClosesForTooLong() {
    removeSecondEngine();
    stateClosed("e1", 1, SHORT_MS);
    long first = call();
    long second = call();
    fixture.take(ReplyToCall.class);

    stateClosed("e1", 1, LONG_MS);

    List<ReplyToCall> replies = fixture.take(ReplyToCall.class);
    assertThat(replies.stream().map(ReplyToCall::call)).containsExactly(first, second);
    assertThat(replies.stream().map(ReplyToCall::reply).distinct())
        .containsExactly(Reply.ENGINES_CLOSED);
  }

  /** Guards against a reply to a rejected call that does not state the time to return. */
  @Test
  void aCallThatWasTurnedAwayForLongIsRefusedAtOnce() {
    removeSecondEngine();
    long id = call();
    fixture.take(ReplyToCall.class);

    refuse(id, 1, "e1", LONG_MS);

    assertThat(fixture.take(ReplyToCall.class))
        .containsExactly(new ReplyToCall(id, Reply.ENGINES_CLOSED, 2_000 / 3));
  }

  /** Guards against stating that a call has not run after its stream has begun. */
  @Test
  void anInterruptedStreamIsNotReportedAsNotRun() {
    long id = fixture.call("/stream/x", Optional.empty(), 2_000);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    stateClosed("e1", 1, LONG_MS);
    stateClosed("e2", 1, LONG_MS);
    fixture.take(ForwardCall.class);

    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));

    assertThat(fixture.take(AbortCall.class)).containsExactly(new AbortCall(id));
  }

  /** Guards against resuming a stream too early, or not at all, at an engine that opens soon. */
  @Test
  void anInterruptedStreamIsResumedWhenTheEngineOpens() {
    long id = fixture.call("/stream/x", Optional.empty(), 2_000);
    BackendId first = fixture.take(ForwardCall.class).get(0).engine();
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    BackendId other = first.equals(E1) ? E2 : E1;
    stateClosed(other.value(), 1, SHORT_MS);

    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    fixture.advance(SHORT_MS - 1);
    assertThat(fixture.take(ForwardCall.class)).isEmpty();
    fixture.advance(1);

    assertThat(engines(fixture.take(ForwardCall.class))).containsExactly(other);
  }

  /** Guards against an entry, or its absence for a while, that opens the engine too early. */
  @Test
  void onlyANewStartOpensTheEngineEarlier() {
    removeSecondEngine();
    stateClosed("e1", 1, LONG_MS);
    fixture.engines(GatewayFixture.plain("e1"));
    call();
    fixture.engineList(List.of(), List.of(E1), false);
    fixture.engines(GatewayFixture.plain("e1"));
    call();
    assertThat(fixture.take(ForwardCall.class)).isEmpty();

    fixture.engines(GatewayFixture.entry("e1", "plain", 2, 0));
    call();

    assertThat(engines(fixture.take(ForwardCall.class))).containsExactly(E1);
  }

  /** Guards against a shorter time in a later refusal that ends the one stated before. */
  @Test
  void theLatestEndOfSeveralRefusalsHolds() {
    removeSecondEngine();
    stateClosed("e1", 1, SHORT_MS);
    stateClosed("e1", 1, 100);
    call();

    fixture.advance(SHORT_MS - 1);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against a refusal of an earlier start that closes the new one. */
  @Test
  void aRefusalOfAnEarlierStartIsIgnored() {
    removeSecondEngine();
    fixture.engines(GatewayFixture.entry("e1", "plain", 2, 0));

    stateClosed("e1", 1, LONG_MS);
    call();

    assertThat(engines(fixture.take(ForwardCall.class))).containsExactly(E1);
  }

  /** Guards against charging the retry budget for a request that was never sent. */
  @Test
  void aCallThatWasNotSentGoesElsewhereWithoutARetry() {
    long id = call();
    BackendId first = fixture.take(ForwardCall.class).get(0).engine();
    double retriesBefore = CallSteps.budget(fixture.node(), "plain").available();
    stateClosed(first.value(), 1, SHORT_MS);

    fixture.endForward(id, 1, ForwardResult.ENGINE_CLOSED);

    assertThat(engines(fixture.take(ForwardCall.class)))
        .containsExactly(first.equals(E1) ? E2 : E1);
    assertThat(CallSteps.budget(fixture.node(), "plain").available()).isEqualTo(retriesBefore);
  }

  /** Guards against a log without the reason for which an engine gets no calls. */
  @Test
  void recordsOnceThatAnEngineIsClosed() {
    fixture.take(RecordDecision.class);
    stateClosed("e1", 1, SHORT_MS);
    fixture.advance(1);
    stateClosed("e1", 1, SHORT_MS);

    List<Decision> decisions = new ArrayList<>();
    fixture.take(RecordDecision.class).forEach(record -> decisions.add(record.decision()));
    assertThat(decisions).hasSize(1);
    assertThat(decisions.get(0).kind()).isEqualTo(DecisionKind.ENGINE);
    assertThat(decisions.get(0).fields().toString()).contains("closed");
  }

  private void holdDuty(int times) {
    for (int i = 0; i < times; i++) {
      fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
      fixture.advance(500);
    }
  }

  private void reportInventory(String engine, ModelKey... held) {
    EngineInventory inventory =
        new EngineInventory(1, 0, false, HashTreePSet.from(List.of(held)), HashTreePSet.empty());
    fixture.reduce(
        new EngineInspected(fixture.nowMs(), new BackendId(engine), Optional.of(inventory)));
  }

  /** Guards against inventory requests of the holder of the duty at a closed engine. */
  @Test
  void aClosedEngineIsNotInspected() {
    fixture.routes(2, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 0, M1));
    stateClosed("g1", 1, 60_000);
    holdDuty(10);
    assertThat(fixture.take(InspectEngine.class)).isEmpty();

    fixture.advance(60_000);
    holdDuty(10);

    assertThat(fixture.take(InspectEngine.class)).isNotEmpty();
  }

  /** Guards against orders at a closed engine, which still counts as a replica of its models. */
  @Test
  void aClosedEngineGetsNoOrdersButIsAReplica() {
    fixture.routes(2, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M2),
        GatewayFixture.entry("g2", "llm", 1, 0, M1, M2));
    holdDuty(9);
    fixture.take(SendEngineOrder.class);
    stateClosed("g1", 1, LONG_MS);
    stateClosed("g2", 1, LONG_MS);
    reportInventory("g1", M1, M2);
    reportInventory("g2", M1, M2);

    fixture.call("/m/x", Optional.of(M3), 10_000);
    fixture.call("/m/x", Optional.of(ModelKey.of("m1", "a1")), 10_000);
    holdDuty(2);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
    assertThat(ModelRequests.isLoaded(fixture.gateway(), "llm", M1)).isTrue();
  }
}
