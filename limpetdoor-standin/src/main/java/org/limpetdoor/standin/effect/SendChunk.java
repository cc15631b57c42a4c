package org.limpetdoor.standin.effect;

/**
 * Sends one server-sent event.
 *
 * @param replyId identifier of the request
 * @param data data of the event, a single line
 */
public record SendChunk(long replyId, String data) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.sendChunk(this);
  }
}
