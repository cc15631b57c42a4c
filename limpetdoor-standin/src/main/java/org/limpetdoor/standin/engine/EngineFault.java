package org.limpetdoor.standin.engine;

import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.Fault;
import org.limpetdoor.standin.FaultRequest;
import org.limpetdoor.standin.effect.StandinEffect;

/** Kinds of faults of an engine. */
public enum EngineFault implements Fault<EngineState> {
  /** Closes all connections, and new ones as soon as they are accepted, for {@code forMs}. */
  CRASH {
    @Override
    EngineFaults updateFaults(EngineFaults faults, FaultRequest request, long nowMs) {
      // The delay lets the response to the fault request be sent before its connection is closed.
      long crashAtMs = request.on() ? nowMs + CRASH_DELAY_MS : Timed.NEVER_MS;
      return faults.withCrash(crashAtMs, request.forMs());
    }
  },
  /** A prompt that contains {@code text} crashes the engine for {@code forMs}. */
  CRASH_ON_TEXT {
    @Override
    EngineFaults updateFaults(EngineFaults faults, FaultRequest request, long nowMs) {
      return faults.withCrashText(
          request.on() && request.text() != null ? request.text() : "", request.forMs());
    }
  },
  /** Answers that are running now send nothing more, but keep their connections and slots. */
  SILENT {
    @Override
    public Transition<EngineState, StandinEffect> apply(
        EngineState state, FaultRequest request, long nowMs) {
      return request.on() ? Transition.of(state.silenceRunning()) : state.resumeSilent(nowMs);
    }
  },
  /** Tokens take {@code factor} times as long. */
  SLOW {
    @Override
    EngineFaults updateFaults(EngineFaults faults, FaultRequest request, long nowMs) {
      return faults.withSlowdownFactor(request.on() ? request.factor() : 1);
    }
  },
  /** New work is refused with status 503 and marked as not started. */
  DRAINING {
    @Override
    EngineFaults updateFaults(EngineFaults faults, FaultRequest request, long nowMs) {
      return faults.withDraining(request.on());
    }
  };

  private static final long CRASH_DELAY_MS = 50;

  @Override
  public Transition<EngineState, StandinEffect> apply(
      EngineState state, FaultRequest request, long nowMs) {
    return Transition.of(state.withFaults(updateFaults(state.faults(), request, nowMs)));
  }

  EngineFaults updateFaults(EngineFaults faults, FaultRequest request, long nowMs) {
    return faults;
  }
}
