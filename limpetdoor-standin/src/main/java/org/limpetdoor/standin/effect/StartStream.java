package org.limpetdoor.standin.effect;

import java.util.Map;

/**
 * Sends status 200 and the headers of an event stream.
 *
 * @param replyId identifier of the request
 * @param headers additional headers
 */
public record StartStream(long replyId, Map<String, String> headers) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.startStream(this);
  }
}
