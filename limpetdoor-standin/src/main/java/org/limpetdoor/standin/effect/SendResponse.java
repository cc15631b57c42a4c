package org.limpetdoor.standin.effect;

import java.util.Map;

/**
 * Sends a complete response.
 *
 * @param exchangeId identifier of the HTTP exchange
 * @param status HTTP status code
 * @param body value that is written as JSON
 * @param headers additional headers
 */
public record SendResponse(long exchangeId, int status, Object body, Map<String, String> headers)
    implements StandinEffect {
  /** Copies the headers. */
  public SendResponse {
    headers = Map.copyOf(headers);
  }

  /** Returns a response with status 200. */
  public static SendResponse ok(long exchangeId, Object body) {
    return new SendResponse(exchangeId, 200, body, Map.of());
  }

  /** Returns a response with an error status and message. */
  public static SendResponse error(long exchangeId, int status, String error) {
    return new SendResponse(exchangeId, status, Map.of("error", error), Map.of());
  }

  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.sendResponse(this);
  }
}
