package org.limpetdoor.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.decision.QueueAgeAlarm;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.CancelAttempt;
import org.limpetdoor.core.effect.ChangePriority;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.EffectHandler;
import org.limpetdoor.core.effect.FinishRequest;
import org.limpetdoor.core.effect.GatewayEffect;
import org.limpetdoor.core.effect.RaiseQueueAgeAlarm;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.AttemptFailed;
import org.limpetdoor.core.event.AttemptStarted;
import org.limpetdoor.core.event.CallerDisconnected;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.AttemptFailure;

/** One instance: the reducer, a timer and an effect handler that uses the fake back ends. */
public final class FakeInstance implements EffectHandler, AttemptListener {
  /** One-way delay between an instance and a back end. */
  private static final long LINK_DELAY_MS = 1;

  private final Reducer<NodeState, Event, Effect> reducer;
  private final VirtualTime time;
  private final Map<BackendId, FakeBackend> backends;
  private final Map<RequestId, CallerRecord> callers = new HashMap<>();
  private final Map<AttemptId, FakeBackend> openAttempts = new HashMap<>();
  private final Map<AttemptId, Long> lastByteAtMs = new HashMap<>();
  private final List<Decision> decisions = new ArrayList<>();
  private final List<QueueAgeAlarm> alarms = new ArrayList<>();
  private NodeState state;
  private long timerAtMs = Timed.NEVER_MS;

  FakeInstance(
      Reducer<NodeState, Event, Effect> reducer,
      NodeState.Self self,
      VirtualTime time,
      Map<BackendId, FakeBackend> backends) {
    this.reducer = reducer;
    this.state = NodeState.initial(self);
    this.time = time;
    this.backends = backends;
  }

  /** Returns the control state. */
  public NodeState state() {
    return state;
  }

  /** Returns all decisions other than routine routing and admission, in order. */
  public List<Decision> decisions() {
    return decisions;
  }

  /** Returns all queue age alarms that were raised, in order. */
  public List<QueueAgeAlarm> alarms() {
    return alarms;
  }

  /** Reduces one event, carries out its effects and schedules the next timer event. */
  public void handle(Event event) {
    Transition<NodeState, Effect> transition = reducer.reduce(state, event);
    state = transition.state();
    transition.effects().forEach(effect -> effect.applyTo(this));
    scheduleTimer();
  }

  void send(CallerRecord caller) {
    callers.put(caller.spec.id(), caller);
    handle(new RequestArrived(time.nowMs(), caller.spec));
  }

  void disconnect(RequestId request) {
    handle(new CallerDisconnected(time.nowMs(), request));
  }

  @Override
  public void dispatchAttempt(DispatchAttempt effect) {
    CallerRecord caller = callers.get(effect.attempt().request());
    FakeBackend backend = backends.get(effect.backend());
    caller.attempts++;
    caller.dispatchedAtMs = time.nowMs();
    caller.lastBackend = effect.backend();
    openAttempts.put(effect.attempt(), backend);
    BackendJob job =
        new BackendJob(
            effect.attempt(),
            caller.spec,
            caller.outputTokens,
            effect.resumeAtToken(),
            effect.enginePriority(),
            this);
    time.after(LINK_DELAY_MS, () -> deliver(backend, job));
    time.after(effect.firstByteTimeoutMs(), () -> checkFirstByte(job));
  }

  @Override
  public void cancelAttempt(CancelAttempt effect) {
    FakeBackend backend = closeAttempt(effect.attempt());
    if (backend != null) {
      time.after(LINK_DELAY_MS, () -> backend.cancel(effect.attempt()));
    }
  }

  @Override
  public void finishRequest(FinishRequest effect) {
    CallerRecord caller = callers.remove(effect.request());
    caller.finished = true;
    caller.endedAtMs = time.nowMs();
  }

  @Override
  public void refuseRequest(RefuseRequest effect) {
    CallerRecord caller = callers.remove(effect.request());
    caller.refusal = effect.refusal();
    caller.endedAtMs = time.nowMs();
  }

  @Override
  public void recordDecision(RecordDecision effect) {
    switch (effect.decision().kind()) {
      case ROUTE, ADMISSION -> {}
      default -> decisions.add(effect.decision());
    }
  }

  @Override
  public void changePriority(ChangePriority effect) {
    FakeBackend backend = openAttempts.get(effect.attempt());
    if (backend != null) {
      time.after(
          LINK_DELAY_MS, () -> backend.changePriority(effect.attempt(), effect.enginePriority()));
    }
  }

  @Override
  public void raiseQueueAgeAlarm(RaiseQueueAgeAlarm effect) {
    alarms.add(effect.alarm());
  }

  /** Does nothing: the scenario ends the simulation, and a drained instance gets no requests. */
  @Override
  public void stopInstance(StopInstance effect) {}

  /**
   * The effects from here on do not occur: instances in scenarios do not append records, order
   * models or connect to peers.
   */
  @Override
  public void appendRecord(AppendRecord effect) {
    throw unexpectedEffect(effect);
  }

  @Override
  public void sendOrder(SendOrder effect) {
    throw unexpectedEffect(effect);
  }

  @Override
  public void requestInventory(RequestInventory effect) {
    throw unexpectedEffect(effect);
  }

  @Override
  public void connectPeer(ConnectPeer effect) {
    throw unexpectedEffect(effect);
  }

  @Override
  public void executeGatewayEffect(GatewayEffect effect) {
    throw new IllegalArgumentException(
        "scenarios have no calls that are forwarded by route: " + effect);
  }

  @Override
  public void sendToPeer(SendToPeer effect) {
    throw unexpectedEffect(effect);
  }

  private static ScenarioException unexpectedEffect(Effect effect) {
    return new ScenarioException("unexpected effect " + effect);
  }

  @Override
  public void started(BackendJob job) {
    time.after(LINK_DELAY_MS, () -> receiveStart(job));
  }

  @Override
  public void completed(BackendJob job, int outputTokens) {
    time.after(
        LINK_DELAY_MS,
        () -> {
          if (closeAttempt(job.attempt) != null) {
            handle(new AttemptCompleted(time.nowMs(), job.attempt, outputTokens));
          }
        });
  }

  @Override
  public void failed(BackendJob job, AttemptFailure failure, int deliveredTokens) {
    time.after(LINK_DELAY_MS, () -> receiveFailure(job.attempt, failure, deliveredTokens));
  }

  private void deliver(FakeBackend backend, BackendJob job) {
    CallerRecord caller = callers.get(job.attempt.request());
    if (caller == null || !openAttempts.containsKey(job.attempt)) {
      return;
    }
    caller.deliveredAttempts++;
    backend.dispatch(job);
  }

  private void receiveStart(BackendJob job) {
    if (!openAttempts.containsKey(job.attempt)) {
      return;
    }
    lastByteAtMs.put(job.attempt, time.nowMs());
    CallerRecord caller = callers.get(job.attempt.request());
    if (caller.startedAtMs < 0) {
      caller.startedAtMs = time.nowMs();
    }
    handle(new AttemptStarted(time.nowMs(), job.attempt));
  }

  private void receiveFailure(AttemptId attempt, AttemptFailure failure, int deliveredTokens) {
    if (closeAttempt(attempt) != null) {
      handle(new AttemptFailed(time.nowMs(), attempt, failure, deliveredTokens));
    }
  }

  private void checkFirstByte(BackendJob job) {
    if (openAttempts.containsKey(job.attempt) && !lastByteAtMs.containsKey(job.attempt)) {
      receiveFailure(job.attempt, AttemptFailure.TIMED_OUT, job.resumeAtToken);
    }
  }

  private FakeBackend closeAttempt(AttemptId attempt) {
    lastByteAtMs.remove(attempt);
    return openAttempts.remove(attempt);
  }

  private void scheduleTimer() {
    long dueMs = state.nextDeadlineMs();
    if (dueMs < timerAtMs) {
      timerAtMs = dueMs;
      time.at(dueMs, () -> fireTimer(dueMs));
    }
  }

  private void fireTimer(long scheduledMs) {
    if (scheduledMs != timerAtMs) {
      return;
    }
    timerAtMs = Timed.NEVER_MS;
    if (state.nextDeadlineMs() <= time.nowMs()) {
      handle(new TimerFired(time.nowMs()));
    } else {
      scheduleTimer();
    }
  }
}
