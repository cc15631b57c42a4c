package org.limpetdoor.standin.engine;

import org.limpetdoor.core.Timed;

/**
 * Active faults of an engine.
 *
 * @param crashAtMs time of the crash in monotonic milliseconds, or never
 * @param crashForMs time for which the engine stays down after a crash, in milliseconds
 * @param upAtMs time at which a crashed engine accepts connections again, in monotonic
 *     milliseconds, or never
 * @param crashText text in a prompt that crashes the engine; empty for none
 * @param factor slowdown factor of token generation, at least 1
 * @param draining whether new work is refused
 */
record EngineFaults(
    long crashAtMs,
    long crashForMs,
    long upAtMs,
    String crashText,
    double factor,
    boolean draining) {
  static final EngineFaults NONE =
      new EngineFaults(Timed.NEVER_MS, 0, Timed.NEVER_MS, "", 1, false);

  boolean crashes(String prompt) {
    return !crashText.isEmpty() && prompt.contains(crashText);
  }

  EngineFaults withCrash(long atMs, long forMs) {
    return new EngineFaults(atMs, forMs, upAtMs, crashText, factor, draining);
  }

  EngineFaults withDownUntil(long untilMs) {
    return new EngineFaults(Timed.NEVER_MS, crashForMs, untilMs, crashText, factor, draining);
  }

  EngineFaults withCrashText(String text, long forMs) {
    return new EngineFaults(crashAtMs, forMs, upAtMs, text, factor, draining);
  }

  EngineFaults withFactor(double value) {
    return new EngineFaults(crashAtMs, crashForMs, upAtMs, crashText, value, draining);
  }

  EngineFaults withDraining(boolean value) {
    return new EngineFaults(crashAtMs, crashForMs, upAtMs, crashText, factor, value);
  }
}
