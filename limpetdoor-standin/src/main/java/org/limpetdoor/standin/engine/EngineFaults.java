package org.limpetdoor.standin.engine;

import org.limpetdoor.core.Timed;

/**
 * Active faults of an engine.
 *
 * @param crashAtMs time of the crash in monotonic milliseconds, or never
 * @param downtimeMs time for which the engine stays down after a crash, in milliseconds
 * @param restartAtMs time at which a crashed engine accepts connections again, in monotonic
 *     milliseconds, or never
 * @param crashText text in a prompt that crashes the engine; empty for none
 * @param slowdownFactor slowdown factor of token generation, at least 1
 * @param draining whether new work is refused
 */
record EngineFaults(
    long crashAtMs,
    long downtimeMs,
    long restartAtMs,
    String crashText,
    double slowdownFactor,
    boolean draining) {
  static final EngineFaults NONE =
      new EngineFaults(Timed.NEVER_MS, 0, Timed.NEVER_MS, "", 1, false);

  boolean crashesOn(String prompt) {
    return !crashText.isEmpty() && prompt.contains(crashText);
  }

  EngineFaults withCrash(long atMs, long forMs) {
    return new EngineFaults(atMs, forMs, restartAtMs, crashText, slowdownFactor, draining);
  }

  EngineFaults withDownUntil(long restartMs) {
    return new EngineFaults(
        Timed.NEVER_MS, downtimeMs, restartMs, crashText, slowdownFactor, draining);
  }

  EngineFaults withCrashText(String text, long forMs) {
    return new EngineFaults(crashAtMs, forMs, restartAtMs, text, slowdownFactor, draining);
  }

  EngineFaults withSlowdownFactor(double value) {
    return new EngineFaults(crashAtMs, downtimeMs, restartAtMs, crashText, value, draining);
  }

  EngineFaults withDraining(boolean value) {
    return new EngineFaults(crashAtMs, downtimeMs, restartAtMs, crashText, slowdownFactor, value);
  }
}
