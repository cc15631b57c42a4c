package org.limpetdoor.core.gateway;

import java.util.Optional;

/**
 * A request on a connection to an engine, and the rule that distinguishes its response from a copy
 * of an earlier one. An engine may send a copy at any time while the connection is open, with or
 * without the identifier that it echoes. A connection without an earlier request has no response to
 * copy.
 *
 * @param attemptId identifier in the request that the engine echoes, if the caller sent one
 * @param connectionUsed whether the connection has carried an earlier request
 * @param attemptIdUsed whether the connection has carried an earlier request with this identifier
 */
public record EngineExchange(
    Optional<String> attemptId, boolean connectionUsed, boolean attemptIdUsed) {

  /** Returns whether the response can be distinguished from copies of earlier ones. */
  public boolean isDistinguishable() {
    return !connectionUsed || (attemptId.isPresent() && !attemptIdUsed);
  }

  /**
   * Returns whether a response belongs to the request.
   *
   * @param echoedId identifier in the response, if it has one
   */
  public boolean ownsResponse(Optional<String> echoedId) {
    return echoedId.isPresent() ? echoedId.equals(attemptId) : !connectionUsed;
  }
}
