package org.limpetdoor.scenario;

/** Models the adapter loads of all engines. Beyond the limit, loads slow down in proportion. */
public final class FakeAdapterStore {
  private static final double LOAD_MS = 5;

  private int fullSpeedLimit = Integer.MAX_VALUE;
  private int inFlight;
  private int maxInFlight;
  private int loads;

  /** Sets the number of concurrent loads that run at full speed. */
  public void setFullSpeedLimit(int limit) {
    fullSpeedLimit = limit;
  }

  /** Returns the highest number of loads in flight at once. */
  public int maxInFlight() {
    return maxInFlight;
  }

  /** Returns the number of loads begun so far. */
  public int loads() {
    return loads;
  }

  /** Begins a load and returns its duration, in milliseconds. */
  double beginLoad() {
    inFlight++;
    loads++;
    maxInFlight = Math.max(maxInFlight, inFlight);
    return LOAD_MS * Math.max(1, (double) inFlight / fullSpeedLimit);
  }

  void endLoad() {
    inFlight--;
  }
}
