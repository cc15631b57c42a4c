package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.limpetdoor.core.gateway.CallSpec;
import org.limpetdoor.core.gateway.EventSequence;

/**
 * Request, connection and current attempt of an open call. Decisions about the call are made by the
 * reducer; the mutable fields only track what has been sent to the caller and by which attempt.
 * Confined to the traffic thread.
 */
final class OpenCall implements AutoCloseable {
  private final CallSpec spec;
  private final HttpRequest head;
  private final byte[] body;
  private final CallerChannel caller;
  private final Optional<String> attemptId;
  private final Set<EngineChannel> usedConnections = new HashSet<>();
  private EngineAttempt attempt;
  private EngineAttempt errorResponseAttempt;
  private Optional<String> lastEventId = Optional.empty();
  private EventSequence sequence = EventSequence.EMPTY;
  private boolean headSent;

  OpenCall(
      CallSpec spec,
      HttpRequest head,
      byte[] body,
      CallerChannel caller,
      Optional<String> attemptId) {
    this.spec = spec;
    this.head = head;
    this.body = body;
    this.caller = caller;
    this.attemptId = attemptId;
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

  /** Returns the identifier that engines echo, if the caller sent one. */
  Optional<String> attemptId() {
    return attemptId;
  }

  /** Records that the call is sent on a connection. */
  void sentOn(EngineChannel connection) {
    usedConnections.add(connection);
  }

  boolean wasSentOn(EngineChannel connection) {
    return usedConnections.contains(connection);
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

  /** Keeps an attempt whose error response may be relayed to the caller later. */
  void keepErrorResponse(EngineAttempt value) {
    close();
    errorResponseAttempt = value;
  }

  boolean keepsErrorResponse(EngineAttempt value) {
    return errorResponseAttempt == value;
  }

  /** Drops the error response that is kept, if any. */
  @Override
  public void close() {
    if (errorResponseAttempt != null) {
      errorResponseAttempt.releaseResponse();
      errorResponseAttempt = null;
    }
  }

  Optional<String> lastEventId() {
    return lastEventId;
  }

  boolean headSent() {
    return headSent;
  }

  /** Returns the sequence of the events that were relayed to the caller. */
  EventSequence sequence() {
    return sequence;
  }

  /**
   * Relays complete events to the caller.
   *
   * @param attempt attempt that received them
   * @param events the events, which are released
   * @param newSequence sequence that includes them
   * @param ids identifier of each event
   */
  void relayEvents(
      EngineAttempt attempt,
      ByteBuf events,
      EventSequence newSequence,
      List<Optional<String>> ids) {
    if (!headSent) {
      headSent = true;
      caller.writeStreamHead(attempt.responseHead());
    }
    sequence = newSequence;
    ids.forEach(id -> lastEventId = id.or(() -> lastEventId));
    caller.writeStreamContent(events);
  }

  /** Suspends or resumes the current attempt when the caller's writability changes. */
  void callerWritabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.callerWritabilityChanged(writable);
    }
  }

  /** Cancels the current attempt after the caller has disconnected. */
  void callerDisconnected() {
    if (attempt != null) {
      attempt.cancel();
    }
  }
}
