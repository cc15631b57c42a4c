package org.limpetdoor.core.effect;

/**
 * Starts or stops following the topics of the store. Results in {@code RoutesRead}, {@code
 * EnginesRead} and {@code InstancesListed}. A start reads the newest records first.
 *
 * @param engineIntervalMs interval between reads of the list of engines, in milliseconds, or {@link
 *     #STOPPED}
 */
public record FollowStore(long engineIntervalMs) implements GatewayEffect {
  /** Interval of an instance that does not follow the store. */
  public static final long STOPPED = 0;

  /** Returns whether the store is followed from now on. */
  public boolean started() {
    return engineIntervalMs != STOPPED;
  }

  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.followStore(this);
  }
}
