package org.limpetdoor.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.gateway.CallSpec;
import org.limpetdoor.core.gateway.EngineNotice;

/**
 * Headers and formats that callers and engines use over HTTP. Implementations only translate
 * between them and the core; they make no decisions.
 */
public interface CallProtocol {
  /**
   * Parses the request of a caller.
   *
   * @param id identifier of the call, unique in this process
   * @param head request line and headers
   * @param body complete request body
   */
  CallSpec parseCall(long id, HttpRequest head, byte[] body);

  /**
   * Sets the headers of the request that is forwarded to an engine.
   *
   * @param from headers of the caller's request
   * @param to headers of the forwarded request, without hop-by-hop headers
   * @param forward engine, deadline and priority of the attempt
   * @param resumeAfter identifier of the last event sent to the caller, if a stream is resumed
   */
  void writeHeaders(
      HttpHeaders from, HttpHeaders to, ForwardCall forward, Optional<String> resumeAfter);

  /**
   * Returns the identifier of a call attempt, which callers choose and engines echo.
   *
   * @param headers headers of a caller's request or of an engine's response
   */
  Optional<String> attemptId(HttpHeaders headers);

  /** Returns whether the engine states in the response that it did not run the call. */
  boolean isNotRun(HttpResponse response);

  /** Returns whether the response carries the signature of an engine that ran the call. */
  boolean isSigned(HttpResponse response);

  /** Returns what the engine states about itself in the response. */
  EngineNotice engineNotice(HttpResponse response);
}
