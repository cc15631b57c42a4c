package org.limpetdoor.standin.effect;

/**
 * Closes the connection of a request without sending anything more.
 *
 * @param replyId identifier of the request
 */
public record CloseConnection(long replyId) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.closeConnection(this);
  }
}
