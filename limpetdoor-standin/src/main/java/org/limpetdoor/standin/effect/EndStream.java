package org.limpetdoor.standin.effect;

/**
 * Ends an event stream.
 *
 * @param exchangeId identifier of the HTTP exchange
 */
public record EndStream(long exchangeId) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.endStream(this);
  }
}
