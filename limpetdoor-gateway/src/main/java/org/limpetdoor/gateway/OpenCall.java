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
  private EngineAttempt kept;
  private Optional<String> lastEventId = Optional.empty();
  private boolean headPassed;

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

  Optional<EngineAttempt> kept(int number) {
    return Optional.ofNullable(kept).filter(a -> a.number() == number);
  }

  void attemptBegins(EngineAttempt value) {
    attempt = value;
  }

  /** Keeps an attempt whose failure may be passed on later. */
  void keep(EngineAttempt value) {
    kept = value;
  }

  Optional<String> lastEventId() {
    return lastEventId;
  }

  boolean headPassed() {
    return headPassed;
  }

  /** Passes whole events on to the caller. */
  void passEvents(EngineAttempt from, ByteBuf events, Optional<String> lastId) {
    if (!headPassed) {
      headPassed = true;
      caller.writeStreamHead(from.answerHead());
    }
    lastEventId = lastId.or(() -> lastEventId);
    caller.writeStreamPart(events);
  }

  /** The caller takes bytes again, or takes none for now. */
  void callerWritable(boolean writable) {
    if (attempt != null) {
      attempt.callerWritable(writable);
    }
  }

  /** The caller has left, so the engine need not go on. */
  void callerLeft() {
    if (attempt != null) {
      attempt.abandon();
    }
  }
}
