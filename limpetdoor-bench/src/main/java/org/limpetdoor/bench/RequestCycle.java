package org.limpetdoor.bench;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.AttemptStarted;
import org.limpetdoor.core.event.BackendLoadReported;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.request.RequestSpec;
import org.limpetdoor.core.request.Target.ModelTarget;

/** Runs the reducer on the events of one request after another. */
final class RequestCycle {
  private static final int PROMPT_TOKENS = 400;
  private static final int OUTPUT_TOKENS = 270;

  /** Event time between two requests, so that 121 requests take about a second. */
  private static final int MS_PER_REQUEST = 8;

  private final NodeReducer reducer = new NodeReducer();
  private final int models;
  private NodeState state;
  private long sequence;

  RequestCycle(int engines, int models) {
    this.models = models;
    this.state = startedState(reducer, FleetConfiguration.of(engines, models));
  }

  NodeState state() {
    return state;
  }

  /** Reduces the four events of one request and returns the resulting state. */
  NodeState run() {
    DispatchAttempt dispatch = arrive();
    long atMs = nowMs();
    apply(new AttemptStarted(atMs, dispatch.attempt()));
    apply(new BackendLoadReported(atMs, dispatch.backend(), 4, 0));
    apply(new AttemptCompleted(atMs, dispatch.attempt(), OUTPUT_TOKENS));
    return state;
  }

  /** Reduces the arrival of one request and returns its dispatch. */
  DispatchAttempt arrive() {
    sequence++;
    return apply(new RequestArrived(nowMs(), spec())).stream()
        .filter(DispatchAttempt.class::isInstance)
        .map(DispatchAttempt.class::cast)
        .findFirst()
        .orElseThrow();
  }

  /** Reduces the completion of a dispatched request. */
  void complete(DispatchAttempt dispatch) {
    apply(new AttemptCompleted(nowMs(), dispatch.attempt(), OUTPUT_TOKENS));
  }

  private List<Effect> apply(Event event) {
    Transition<NodeState, Effect> transition = reducer.reduce(state, event);
    state = transition.state();
    return transition.effects();
  }

  private long nowMs() {
    return sequence * MS_PER_REQUEST;
  }

  private RequestSpec spec() {
    int model = (int) (sequence * 31 % models);
    int customer = (int) (sequence % FleetConfiguration.CUSTOMERS);
    return new RequestSpec(
        new RequestId("instance-1/1/" + sequence),
        FleetConfiguration.key(customer),
        new ModelTarget(FleetConfiguration.model(model), Optional.empty()),
        Optional.empty(),
        PROMPT_TOKENS,
        OUTPUT_TOKENS,
        sequence % 1_000,
        List.of(),
        sequence);
  }

  private static NodeState startedState(NodeReducer reducer, Configuration configuration) {
    NodeState.Self self = new NodeState.Self(new InstanceId("instance-1"), 1, new ZoneId("zone-0"));
    ConfigurationPublished published =
        new ConfigurationPublished(-1, "operator", ConfigurationPatch.of(configuration));
    StoredRecord stored = new StoredRecord(0, new Envelope(new AppendId("operator", 1), published));
    return reducer.reduce(NodeState.initial(self), new RecordsRead(0, List.of(stored))).state();
  }
}
