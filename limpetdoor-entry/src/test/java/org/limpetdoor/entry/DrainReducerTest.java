package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.effect.CancelAttempt;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.request.Refusal;
import org.limpetdoor.core.request.RefusalReason;
import org.limpetdoor.core.request.RequestSpec;
import org.limpetdoor.core.request.Target.ServiceTarget;

/** Verifies the decisions of the reducer on a graceful shutdown, on virtual time. */
final class DrainReducerTest {
  private static final int SLOTS = 4;
  private static final long TIMEOUT_MS = 500;

  private NodeState state = NodeState.initial(new Self(new InstanceId("test"), 1, new ZoneId("a")));

  @BeforeEach
  void configure() throws Exception {
    try (FakeEngine first = new FakeEngine();
        FakeEngine second = new FakeEngine()) {
      ConfigurationPublished published =
          new ConfigurationPublished(
              AgreedState.NO_VERSION,
              "test",
              ConfigurationPatch.of(Fixtures.configuration(first, second)));
      Envelope envelope = new Envelope(new AppendId("test", 1), published);
      reduce(new RecordsRead(0, List.of(new StoredRecord(0, envelope))));
    }
  }

  /** Guards against a drain that drops queued requests or stops too early or not at all. */
  @Test
  void queuedRequestsFinishBeforeTheInstanceStops() {
    for (int i = 1; i <= SLOTS + 1; i++) {
      reduce(arrival("r" + i));
    }
    List<Effect> requested = reduce(new DrainRequested(1, TIMEOUT_MS));
    List<Effect> late = reduce(arrival("late"));
    List<Effect> freed = reduce(completed("r1"));
    List<Effect> ends = new ArrayList<>();
    for (int i = 2; i <= SLOTS; i++) {
      ends.addAll(reduce(completed("r" + i)));
    }

    assertThat(requested).hasSize(1);
    assertThat(late.get(0)).isInstanceOf(RecordDecision.class);
    assertThat(late.get(1))
        .isEqualTo(
            new RefuseRequest(new RequestId("late"), Refusal.notRun(RefusalReason.SHUTTING_DOWN)));
    assertThat(freed.stream().anyMatch(DispatchAttempt.class::isInstance)).isTrue();
    assertThat(ends.stream().anyMatch(StopInstance.class::isInstance)).isFalse();
    assertThat(reduce(completed("r5"))).contains(new StopInstance(StopInstance.Reason.ALL_ENDED));
  }

  /** Guards against a drain without a time limit, or one that a repeated request extends. */
  @Test
  void drainTimeoutStopsTheInstance() {
    reduce(arrival("r1"));
    reduce(new DrainRequested(1, TIMEOUT_MS));

    assertThat(reduce(new DrainRequested(2, 10 * TIMEOUT_MS))).isEmpty();
    assertThat(state.nextDeadlineMs()).isEqualTo(1 + TIMEOUT_MS);
    List<Effect> ends = reduce(new TimerFired(1 + TIMEOUT_MS));
    assertThat(ends.stream().filter(effect -> !(effect instanceof RecordDecision)).toList())
        .containsExactly(
            new RefuseRequest(
                new RequestId("r1"), Refusal.outcomeUnknown(RefusalReason.INTERRUPTED_BY_SHUTDOWN)),
            new CancelAttempt(new AttemptId(new RequestId("r1"), 1)),
            new StopInstance(StopInstance.Reason.TIMED_OUT))
        .inOrder();
    assertThat(state.draining()).isTrue();
  }

  /** Guards against a queued request that gets no answer because the instance ends. */
  @Test
  void drainTimeoutRefusesQueuedRequests() {
    for (int i = 1; i <= SLOTS + 1; i++) {
      reduce(arrival("r" + i));
    }
    reduce(new DrainRequested(1, TIMEOUT_MS));

    assertThat(reduce(new TimerFired(1 + TIMEOUT_MS)))
        .contains(
            new RefuseRequest(new RequestId("r5"), Refusal.notRun(RefusalReason.SHUTTING_DOWN)));
  }

  private List<Effect> reduce(Event event) {
    Transition<NodeState, Effect> result = new NodeReducer().reduce(state, event);
    state = result.state();
    return result.effects();
  }

  private static RequestArrived arrival(String id) {
    ServiceTarget target = new ServiceTarget(new ServiceId("orders"), "GET", "/");
    return new RequestArrived(
        1,
        new RequestSpec(
            new RequestId(id),
            Fixtures.keyDigest(),
            target,
            Optional.empty(),
            0,
            0,
            0,
            List.of(),
            0));
  }

  private static AttemptCompleted completed(String id) {
    return new AttemptCompleted(1, new AttemptId(new RequestId(id), 1), 0);
  }
}
