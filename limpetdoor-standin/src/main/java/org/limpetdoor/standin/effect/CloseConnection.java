package org.limpetdoor.standin.effect;

/**
 * Closes the connection of a request without sending anything more.
 *
 * @param exchangeId identifier of the HTTP exchange
 */
public record CloseConnection(long exchangeId) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.closeConnection(this);
  }
}
