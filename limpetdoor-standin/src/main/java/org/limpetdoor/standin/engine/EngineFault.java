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
    EngineFaults change(EngineFaults faults, FaultRequest r, long nowMs) {
      // The delay lets the response to the fault request be sent before its connection is closed.
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
  /** Answers that are running now send nothing more, but keep their connections and slots. */
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
  /** New work is refused with status 503 and marked as not started. */
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
