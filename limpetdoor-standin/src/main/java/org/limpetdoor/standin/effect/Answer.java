package org.limpetdoor.standin.effect;

import java.util.Map;

/**
 * Sends a complete response.
 *
 * @param replyId identifier of the request
 * @param status HTTP status code
 * @param body value that is written as JSON
 * @param headers additional headers
 */
public record Answer(long replyId, int status, Object body, Map<String, String> headers)
    implements StandinEffect {
  /** Copies the headers. */
  public Answer {
    headers = Map.copyOf(headers);
  }

  /** Returns a response with status 200. */
  public static Answer ok(long replyId, Object body) {
    return new Answer(replyId, 200, body, Map.of());
  }

  /** Returns a response with an error status and message. */
  public static Answer error(long replyId, int status, String error) {
    return new Answer(replyId, status, Map.of("error", error), Map.of());
  }

  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.answer(this);
  }
}
