package org.limpetdoor.core.effect;

/**
 * Ignores answers of the store of earlier eras, reads followed topics from the newest records, and
 * writes the entry of this instance again, because it may be gone.
 *
 * @param era latest known era of the store
 */
public record AdoptStoreEra(long era) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.adoptStoreEra(this);
  }
}
