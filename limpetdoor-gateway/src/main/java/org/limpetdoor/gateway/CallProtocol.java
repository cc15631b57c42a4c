package org.limpetdoor.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.gateway.CallSpec;

/**
 * Names and forms in which callers and engines speak. Implementations translate and decide nothing.
 */
public interface CallProtocol {
  /**
   * Reads what a caller asks for.
   *
   * @param id number of the call in this process
   * @param head head of the request
   * @param body whole body
   */
  CallSpec parseCall(long id, HttpRequest head, byte[] body);

  /**
   * Writes the headers with which a call goes to an engine.
   *
   * @param from headers of the caller
   * @param to headers of the forwarded request, without those that concern one connection
   * @param forward terms of the attempt
   * @param resumeAfter last event that the caller has, if a stream is resumed
   */
  void writeHeaders(
      HttpHeaders from, HttpHeaders to, ForwardCall forward, Optional<String> resumeAfter);

  /** Returns whether an answer names another call than the given one. */
  boolean isForOtherCall(HttpResponse response, String callerAttemptId);

  /** Returns whether the engine says that it did not run the call. */
  boolean isNotRun(HttpResponse response);

  /** Returns whether the answer bears the mark of an engine that ran the call. */
  boolean isSigned(HttpResponse response);
}
