package org.limpetdoor.standin.effect;

/**
 * Closes the connection of a reply without sending anything more.
 *
 * @param replyId the request that is answered
 */
public record CloseConnection(long replyId) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.closeConnection(this);
  }
}
