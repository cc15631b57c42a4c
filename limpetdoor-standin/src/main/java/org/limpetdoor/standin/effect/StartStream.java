package org.limpetdoor.standin.effect;

import java.util.Map;

/**
 * Sends status 200 and the headers of an event stream.
 *
 * @param exchangeId identifier of the HTTP exchange
 * @param headers additional headers
 */
public record StartStream(long exchangeId, Map<String, String> headers) implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.startStream(this);
  }
}
