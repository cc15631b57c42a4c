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
 * @param executionsByBody number of executions of each request body
 * @param responsesToDrop number of further calls that run but get no response
 * @param slowdownFactor slowdown factor of calls, at least 1
 * @param down whether calls are refused before they run
 * @param delayedEffects delayed responses
 */
public record ServiceState(
    ServiceSettings settings,
    long executions,
    PMap<String, Integer> executionsByBody,
    int responsesToDrop,
    double slowdownFactor,
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
    ServiceState executed = withExecution(call.body());
    StandinEffect response =
        responsesToDrop > 0 ? new CloseConnection(call.exchangeId()) : executed.echo(call);
    long dueMs = call.atMs() + (long) (settings.runMs() * slowdownFactor);
    return Transition.<ServiceState, StandinEffect>of(
            executed.withDelayedEffects(delayedEffects.plus(dueMs, response)))
        .then(s -> s.advance(call.atMs()));
  }

  private SendResponse echo(CallRequested call) {
    return SendResponse.ok(
        call.exchangeId(),
        Map.of("method", call.method(), "path", call.path(), "executions", executions));
  }

  private ServiceState withExecution(String body) {
    PMap<String, Integer> counts =
        executionsByBody.plus(body, executionsByBody.getOrDefault(body, 0) + 1);
    int remainingToDrop = Math.max(0, responsesToDrop - 1);
    return new ServiceState(
        settings, executions + 1, counts, remainingToDrop, slowdownFactor, down, delayedEffects);
  }

  private ServiceState withDelayedEffects(DelayedEffects value) {
    return new ServiceState(
        settings, executions, executionsByBody, responsesToDrop, slowdownFactor, down, value);
  }

  ServiceState withResponsesToDrop(int value) {
    return new ServiceState(
        settings, executions, executionsByBody, value, slowdownFactor, down, delayedEffects);
  }

  ServiceState withSlowdownFactor(double value) {
    return new ServiceState(
        settings, executions, executionsByBody, responsesToDrop, value, down, delayedEffects);
  }

  ServiceState withDown(boolean value) {
    return new ServiceState(
        settings,
        executions,
        executionsByBody,
        responsesToDrop,
        slowdownFactor,
        value,
        delayedEffects);
  }
}
