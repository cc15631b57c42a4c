package org.limpetdoor.standin.engine;

import org.limpetdoor.core.Timed;

/**
 * Faults in force.
 *
 * @param crashAtMs when the engine crashes, or never
 * @param crashForMs how long it stays down, in milliseconds
 * @param upAtMs when it accepts connections again, or never if it is up
 * @param crashText prompts that contain it crash the engine; empty for none
 * @param factor how many times slower tokens come
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
