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
    public Transition<LogState, StandinEffect> apply(LogState s, FaultRequest r, long nowMs) {
      LogState next = s.withFaults(s.faults().withOutage(r.on()));
      return r.on() ? next.refuseWaiting() : Transition.of(next);
    }
  },
  /**
   * The next {@code count} appends take effect, but their connections are closed without a
   * response.
   */
  LOST_ANSWERS {
    @Override
    public Transition<LogState, StandinEffect> apply(LogState s, FaultRequest r, long nowMs) {
      return Transition.of(s.withFaults(s.faults().withLoseAnswers(r.on() ? r.count() : 0)));
    }
  },
  /** Responses are delayed by {@code delayMs}. */
  SLOW_ANSWERS {
    @Override
    public Transition<LogState, StandinEffect> apply(LogState s, FaultRequest r, long nowMs) {
      return Transition.of(s.withFaults(s.faults().withDelayMs(r.on() ? r.delayMs() : 0)));
    }
  }
}
