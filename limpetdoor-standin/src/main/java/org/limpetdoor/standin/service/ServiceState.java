package org.limpetdoor.standin.service;

import java.util.Map;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.DelayedEffects;
import org.limpetdoor.standin.StandinState;
import org.limpetdoor.standin.effect.CloseConnection;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * State of a plain service. A call takes effect when it arrives and is answered after its duration.
 *
 * @param settings settings
 * @param executions total number of executed calls
 * @param byBody number of executions of each request body
 * @param loseReplies number of calls still to come that run without a response
 * @param factor slowdown factor of calls, at least 1
 * @param down whether calls are refused before they run
 * @param delayedEffects delayed responses
 */
public record ServiceState(
    ServiceSettings settings,
    long executions,
    PMap<String, Integer> byBody,
    int loseReplies,
    double factor,
    boolean down,
    DelayedEffects delayedEffects)
    implements StandinState<ServiceState> {
  private static final int UNAVAILABLE = 503;

  static ServiceState initial(ServiceSettings settings) {
    return new ServiceState(settings, 0, HashTreePMap.empty(), 0, 1, false, DelayedEffects.NONE);
  }

  @Override
  public long nextDeadlineMs() {
    return delayedEffects.nextDeadlineMs();
  }

  @Override
  public Transition<ServiceState, StandinEffect> advance(long nowMs) {
    return new Transition<>(
        withDelayedEffects(delayedEffects.dueAfter(nowMs)), delayedEffects.dueAt(nowMs));
  }

  Transition<ServiceState, StandinEffect> call(CallRequested call) {
    if (down) {
      return Transition.of(this, SendResponse.error(call.exchangeId(), UNAVAILABLE, "down"));
    }
    ServiceState ran = withRun(call.body());
    StandinEffect response =
        loseReplies > 0 ? new CloseConnection(call.exchangeId()) : ran.echo(call);
    long dueMs = call.atMs() + (long) (settings.runMs() * factor);
    return Transition.<ServiceState, StandinEffect>of(
            ran.withDelayedEffects(delayedEffects.plus(dueMs, response)))
        .then(s -> s.advance(call.atMs()));
  }

  private SendResponse echo(CallRequested call) {
    return SendResponse.ok(
        call.exchangeId(),
        Map.of("method", call.method(), "path", call.path(), "executions", executions));
  }

  private ServiceState withRun(String body) {
    PMap<String, Integer> counted = byBody.plus(body, byBody.getOrDefault(body, 0) + 1);
    int lose = Math.max(0, loseReplies - 1);
    return new ServiceState(settings, executions + 1, counted, lose, factor, down, delayedEffects);
  }

  private ServiceState withDelayedEffects(DelayedEffects value) {
    return new ServiceState(settings, executions, byBody, loseReplies, factor, down, value);
  }

  ServiceState withLoseReplies(int value) {
    return new ServiceState(settings, executions, byBody, value, factor, down, delayedEffects);
  }

  ServiceState withFactor(double value) {
    return new ServiceState(settings, executions, byBody, loseReplies, value, down, delayedEffects);
  }

  ServiceState withDown(boolean value) {
    return new ServiceState(
        settings, executions, byBody, loseReplies, factor, value, delayedEffects);
  }
}
