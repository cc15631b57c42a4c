package org.limpetdoor.standin.effect;

/**
 * Ends an event stream.
 *
 * @param replyId identifier of the request
 */
public record EndStream(long replyId) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.endStream(this);
  }
}
