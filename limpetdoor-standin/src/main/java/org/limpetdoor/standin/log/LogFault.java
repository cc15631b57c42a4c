package org.limpetdoor.standin.log;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.Fault;
import org.limpetdoor.standin.FaultRequest;
import org.limpetdoor.standin.effect.StandinEffect;

/** Kinds of faults of the log service. */
public enum LogFault implements Fault<LogState> {
  /** All requests, including waiting ones, are answered with status 503. */
  OUTAGE {
    @Override
    public Transition<LogState, StandinEffect> apply(
        LogState state, FaultRequest request, long nowMs) {
      LogState next = state.withFaults(state.faults().withOutage(request.on()));
      return request.on() ? next.refuseWaiting() : Transition.of(next);
    }
  },
  /**
   * The next {@code count} appends take effect, but their connections are closed without a
   * response.
   */
  LOST_ANSWERS {
    @Override
    public Transition<LogState, StandinEffect> apply(
        LogState state, FaultRequest request, long nowMs) {
      return Transition.of(
          state.withFaults(state.faults().withResponsesToDrop(request.on() ? request.count() : 0)));
    }
  },
  /** Responses are delayed by {@code delayMs}. */
  SLOW_ANSWERS {
    @Override
    public Transition<LogState, StandinEffect> apply(
        LogState state, FaultRequest request, long nowMs) {
      return Transition.of(
          state.withFaults(state.faults().withDelayMs(request.on() ? request.delayMs() : 0)));
    }
  }
}
