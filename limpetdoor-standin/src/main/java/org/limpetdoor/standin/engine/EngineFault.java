package org.limpetdoor.standin.engine;

import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.Fault;
import org.limpetdoor.standin.FaultRequest;
import org.limpetdoor.standin.effect.StandinEffect;

/** Kinds of faults of an engine. */
public enum EngineFault implements Fault<EngineState> {
  /** All connections are closed and new ones refused for {@code forMs}. */
  CRASH {
    @Override
    EngineFaults change(EngineFaults faults, FaultRequest r, long nowMs) {
      // The delay lets the answer to the fault request leave before its connection is closed.
      long crashAtMs = r.on() ? nowMs + CRASH_DELAY_MS : Timed.NEVER_MS;
      return faults.withCrash(crashAtMs, r.forMs());
    }
  },
  /** A prompt that contains {@code text} crashes the engine for {@code forMs}. */
  CRASH_ON_TEXT {
    @Override
    EngineFaults change(EngineFaults faults, FaultRequest r, long nowMs) {
      return faults.withCrashText(r.on() && r.text() != null ? r.text() : "", r.forMs());
    }
  },
  /** Answers that are running now stop without being closed and keep their slots. */
  SILENT {
    @Override
    public Transition<EngineState, StandinEffect> apply(EngineState s, FaultRequest r, long nowMs) {
      return r.on() ? Transition.of(s.silenceRunning()) : s.resumeSilent(nowMs);
    }
  },
  /** Tokens take {@code factor} times as long. */
  SLOW {
    @Override
    EngineFaults change(EngineFaults faults, FaultRequest r, long nowMs) {
      return faults.withFactor(r.on() ? r.factor() : 1);
    }
  },
  /** New work is refused as not started. */
  DRAINING {
    @Override
    EngineFaults change(EngineFaults faults, FaultRequest r, long nowMs) {
      return faults.withDraining(r.on());
    }
  };

  private static final long CRASH_DELAY_MS = 50;

  @Override
  public Transition<EngineState, StandinEffect> apply(EngineState s, FaultRequest r, long nowMs) {
    return Transition.of(s.withFaults(change(s.faults(), r, nowMs)));
  }

  EngineFaults change(EngineFaults faults, FaultRequest r, long nowMs) {
    return faults;
  }
}
