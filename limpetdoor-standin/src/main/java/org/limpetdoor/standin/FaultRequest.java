package org.limpetdoor.standin;

/**
 * Body of {@code POST /faults}. Each kind uses the members it needs.
 *
 * @param kind name of the fault
 * @param on whether the fault is switched on; on if absent
 * @param count how many requests it hits, at least 0
 * @param delayMs delay of answers in milliseconds, at least 0
 * @param forMs how long it lasts, in milliseconds, at least 0
 * @param factor how many times slower, at least 1; 1 if absent
 * @param text text that triggers it
 */
public record FaultRequest(
    String kind, Boolean on, int count, long delayMs, long forMs, double factor, String text) {
  /** Fills in defaults and checks the ranges. */
  public FaultRequest {
    on = on == null || on;
    factor = factor == 0 ? 1 : factor;
    if (count < 0 || delayMs < 0 || forMs < 0 || !(factor >= 1)) {
      throw new IllegalArgumentException(
          "count, delayMs and forMs must be at least 0 and factor at least 1");
    }
  }
}
