package org.limpetdoor.standin.effect;

/**
 * Sends one server-sent event.
 *
 * @param replyId the request that is answered
 * @param data data of the event, one line
 */
public record SendChunk(long replyId, String data) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.sendChunk(this);
  }
}
