package org.limpetdoor.standin.service;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.Fault;
import org.limpetdoor.standin.FaultRequest;
import org.limpetdoor.standin.effect.StandinEffect;

/** Kinds of faults of a plain service. */
public enum ServiceFault implements Fault<ServiceState> {
  /** The next {@code count} calls run, but their connections are closed without a response. */
  LOST_REPLIES {
    @Override
    public Transition<ServiceState, StandinEffect> apply(
        ServiceState state, FaultRequest request, long nowMs) {
      return Transition.of(state.withResponsesToDrop(request.on() ? request.count() : 0));
    }
  },
  /** Calls take {@code factor} times as long. */
  SLOW {
    @Override
    public Transition<ServiceState, StandinEffect> apply(
        ServiceState state, FaultRequest request, long nowMs) {
      return Transition.of(state.withSlowdownFactor(request.on() ? request.factor() : 1));
    }
  },
  /** Calls are answered with status 503 and do not run. */
  DOWN {
    @Override
    public Transition<ServiceState, StandinEffect> apply(
        ServiceState state, FaultRequest request, long nowMs) {
      return Transition.of(state.withDown(request.on()));
    }
  }
}
