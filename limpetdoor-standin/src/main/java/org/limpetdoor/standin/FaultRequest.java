package org.limpetdoor.standin;

/**
 * Body of {@code POST /faults}. Each kind of fault reads only some of the members.
 *
 * @param kind name of the fault
 * @param on whether the fault is switched on; true if absent
 * @param count number of requests that are affected, at least 0
 * @param delayMs delay of responses in milliseconds, at least 0
 * @param forMs duration of the fault in milliseconds, at least 0
 * @param factor slowdown factor, at least 1; 1 if absent
 * @param text text in a prompt that triggers the fault
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
