package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.limpetdoor.core.gateway.CallSpec;

/**
 * The bytes and the channel of an open call. What is decided about the call is in the reducer; the
 * fields that change here say only which bytes have been passed on. Used by the traffic thread
 * only.
 */
final class OpenCall {
  private final CallSpec spec;
  private final HttpRequest head;
  private final byte[] body;
  private final CallerChannel caller;
  private EngineAttempt attempt;
  private EngineAttempt errorResponseAttempt;
  private Optional<String> lastEventId = Optional.empty();
  private boolean headSent;

  OpenCall(CallSpec spec, HttpRequest head, byte[] body, CallerChannel caller) {
    this.spec = spec;
    this.head = head;
    this.body = body;
    this.caller = caller;
  }

  CallSpec spec() {
    return spec;
  }

  HttpRequest head() {
    return head;
  }

  byte[] body() {
    return body;
  }

  CallerChannel caller() {
    return caller;
  }

  Optional<EngineAttempt> attempt(int number) {
    return Optional.ofNullable(attempt).filter(a -> a.number() == number);
  }

  Optional<EngineAttempt> errorResponseAttempt(int number) {
    return Optional.ofNullable(errorResponseAttempt).filter(a -> a.number() == number);
  }

  void attemptStarted(EngineAttempt value) {
    attempt = value;
  }

  /** Keeps an attempt whose failure may be passed on later. */
  void keepErrorResponse(EngineAttempt value) {
    errorResponseAttempt = value;
  }

  Optional<String> lastEventId() {
    return lastEventId;
  }

  boolean headSent() {
    return headSent;
  }

  /** Passes whole events on to the caller. */
  void relayEvents(EngineAttempt attempt, ByteBuf events, Optional<String> lastId) {
    if (!headSent) {
      headSent = true;
      caller.writeStreamHead(attempt.responseHead());
    }
    lastEventId = lastId.or(() -> lastEventId);
    caller.writeStreamContent(events);
  }

  /** The caller takes bytes again, or takes none for now. */
  void callerWritabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.callerWritabilityChanged(writable);
    }
  }

  /** The caller has left, so the engine need not go on. */
  void callerDisconnected() {
    if (attempt != null) {
      attempt.cancel();
    }
  }
}
