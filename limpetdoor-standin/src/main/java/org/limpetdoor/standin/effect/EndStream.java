package org.limpetdoor.standin.effect;

/**
 * Ends a stream.
 *
 * @param replyId the request that is answered
 */
public record EndStream(long replyId) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.endStream(this);
  }
}
