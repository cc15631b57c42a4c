package org.limpetdoor.standin.effect;

/**
 * Sends one server-sent event.
 *
 * @param exchangeId identifier of the HTTP exchange
 * @param data data of the event, a single line
 */
public record SendChunk(long exchangeId, String data) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.sendChunk(this);
  }
}
