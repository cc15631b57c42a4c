package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.gateway.EventSequence;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.http.BufferedBody;

/**
 * One attempt to run a call on an engine. It reports its end exactly once. Confined to the traffic
 * thread.
 *
 * <p>Responses that are not streamed are relayed only when they are complete, so that after a
 * failure another attempt can still provide the response.
 */
final class EngineAttempt {
  /**
   * Largest response that is buffered in memory, in bytes. Engines may send bytes without end, and
   * a process has a heap of 220 MB for all its calls.
   */
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private static final int MISDIRECTED_REQUEST = 421;

  /** Receives events from the traffic thread for the reducer. */
  interface EventSink {
    /** Submits an event. The function creates it from its time in monotonic milliseconds. */
    void submit(Function<Long, Event> event);
  }

  private final ForwardCall forward;
  private final OpenCall call;
  private final CallProtocol protocol;
  private final EventSink eventSink;
  private final EventLoop loop;
  private final PaceMeter paceMeter;
  private final MonotonicClock clock;
  private final EventSplitter splitter = new EventSplitter();
  private EngineChannel channel;
  private HttpResponse responseHead;
  private final BufferedBody body;
  private ScheduledFuture<?> silenceCheck;
  private long lastProgressNs;
  private boolean streaming;
  private boolean eventsAccepted;
  private boolean startReported;
  private boolean ended;
  private boolean callerWritable = true;

  EngineAttempt(
      ForwardCall forward,
      OpenCall call,
      CallProtocol protocol,
      EventSink eventSink,
      EventLoop loop,
      PaceMeter paceMeter,
      MonotonicClock clock,
      BodyMemory responseMemory) {
    this.forward = forward;
    this.call = call;
    this.protocol = protocol;
    this.eventSink = eventSink;
    this.loop = loop;
    this.paceMeter = paceMeter;
    this.clock = clock;
    this.body = new BufferedBody(responseMemory);
  }

  int number() {
    return forward.attempt();
  }

  ForwardCall forward() {
    return forward;
  }

  OpenCall call() {
    return call;
  }

  HttpResponse responseHead() {
    return responseHead;
  }

  /** Returns the buffered body of a response that was not streamed. */
  ByteBuf responseBody() {
    return body.content();
  }

  /** Drops the buffered body, which is not relayed any more. */
  void releaseResponse() {
    body.close();
  }

  boolean hasEnded() {
    return ended;
  }

  /** Called when the request is being written to a channel. */
  void requestSent(EngineChannel value) {
    channel = value;
    lastProgressNs = System.nanoTime();
    scheduleSilenceCheck(forward.firstByteTimeoutMs());
  }

  void connectFailed() {
    end(ForwardResult.CONNECT_FAILED);
  }

  /**
   * Ends the attempt if the caller's deadline has passed, and returns whether it has. Called right
   * before the request is written, since the decision to send it may be old in a busy process.
   */
  boolean endIfDeadlinePassed() {
    boolean passed = clock.nowMs() >= forward.deadlineAtMs();
    if (passed) {
      end(ForwardResult.DEADLINE_PASSED);
    }
    return passed;
  }

  /** Called instead of writing the request if the engine accepts none at the moment. */
  void engineClosed() {
    end(ForwardResult.ENGINE_CLOSED);
  }

  /** Returns what to send, with the time that is left now. */
  ForwardCall forwardNow() {
    return forward.at(clock.nowMs());
  }

  /** Returns the identifier of the call attempt that a response names, if it names one. */
  Optional<String> echoedId(HttpResponse head) {
    return protocol.attemptId(head.headers());
  }

  void responseStarted(HttpResponse head) {
    responseHead = head;
    lastProgressNs = System.nanoTime();
    boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    streaming = forward.streamed() && success && protocol.isSigned(head);
  }

  void contentReceived(ByteBuf content) {
    if (ended) {
      return;
    }
    if (streaming) {
      relayContent(content);
    } else if (body.lengthBytes() + content.readableBytes() > MAX_RESPONSE_BYTES) {
      failAndAbort(ForwardResult.INVALID_ANSWER);
    } else if (!body.append(content)) {
      failAndAbort(ForwardResult.NO_MEMORY);
    }
  }

  /**
   * Called at the end of the response according to its HTTP framing.
   *
   * @param framed whether the response stated its length or came in chunks; otherwise it ended with
   *     its connection
   */
  void responseEnded(boolean framed) {
    if (ended) {
      return;
    }
    if (streaming) {
      completeStream(framed);
    } else {
      completeResponse();
    }
  }

  /** Called when the connection was lost or the response is malformed. */
  void exchangeFailed(ForwardResult result) {
    end(result);
  }

  /**
   * Ends the attempt without submitting an event. The reducer either requested this or is notified
   * by another event that the caller has disconnected.
   */
  void cancel() {
    if (ended) {
      return;
    }
    close();
    if (channel != null) {
      channel.abort();
    }
  }

  /**
   * Suspends or resumes reading from the engine when the caller's writability changes. An engine
   * that is not read from is not silent.
   */
  void callerWritabilityChanged(boolean writable) {
    if (channel != null && !ended) {
      if (writable && !callerWritable) {
        lastProgressNs = System.nanoTime();
      }
      callerWritable = writable;
      channel.setAutoRead(writable);
    }
  }

  private void relayContent(ByteBuf content) {
    ByteBuf events = splitter.split(content);
    if (!events.isReadable()) {
      events.release();
      if (splitter.isTooLong()) {
        failAndAbort(ForwardResult.INVALID_ANSWER);
      }
      return;
    }
    EventSequence sequence = call.sequence();
    for (Optional<String> id : splitter.ids()) {
      boolean resuming = call.headSent() && !eventsAccepted;
      if (!sequence.accepts(id, resuming)) {
        events.release();
        failAndAbort(ForwardResult.INVALID_ANSWER);
        return;
      }
      eventsAccepted = true;
      sequence = sequence.plus(id);
    }
    recordProgress();
    call.relayEvents(this, events, sequence, splitter.ids());
    if (!startReported) {
      startReported = true;
      eventSink.submit(atMs -> new ForwardStarted(atMs, forward.call(), forward.attempt()));
    }
  }

  /**
   * Records that whole events have arrived. Bytes alone are no progress: an engine that sends one
   * now and then would never be found silent.
   */
  private void recordProgress() {
    long previousNs = lastProgressNs;
    lastProgressNs = System.nanoTime();
    if (startReported) {
      long gapMs = TimeUnit.NANOSECONDS.toMillis(lastProgressNs - previousNs);
      paceMeter.recordGap(forward.engine(), gapMs, lastProgressNs);
    }
  }

  private void completeStream(boolean framed) {
    if (splitter.hasIncompleteEvent() || !eventsAccepted) {
      end(framed ? ForwardResult.INVALID_ANSWER : ForwardResult.CONNECTION_LOST);
      return;
    }
    call.caller().endStream();
    end(ForwardResult.COMPLETED);
  }

  private void completeResponse() {
    HttpStatusClass statusClass = responseHead.status().codeClass();
    if (protocol.isNotRun(responseHead)) {
      boolean misdirected = responseHead.status().code() == MISDIRECTED_REQUEST;
      end(misdirected ? ForwardResult.MISDIRECTED : ForwardResult.BUSY);
      return;
    }
    if (!protocol.isSigned(responseHead)
        || NotRunStatus.guaranteesNotRun(responseHead.status().code())) {
      end(ForwardResult.INVALID_ANSWER);
      return;
    }
    if (statusClass == HttpStatusClass.SERVER_ERROR || call.headSent()) {
      call.keepErrorResponse(this);
      end(ForwardResult.ERROR_ANSWER);
      return;
    }
    call.caller().writeResponse(responseHead, responseBody());
    end(ForwardResult.COMPLETED);
  }

  private void failAndAbort(ForwardResult result) {
    EngineChannel currentChannel = channel;
    end(result);
    if (currentChannel != null) {
      currentChannel.abort();
    }
  }

  private void end(ForwardResult result) {
    if (ended) {
      return;
    }
    close();
    boolean delivered = call.headSent();
    eventSink.submit(
        atMs -> new ForwardEnded(atMs, forward.call(), forward.attempt(), result, delivered));
  }

  private void close() {
    ended = true;
    splitter.release();
    if (!call.keepsErrorResponse(this)) {
      releaseResponse();
    }
    if (silenceCheck != null) {
      silenceCheck.cancel(false);
    }
  }

  private void scheduleSilenceCheck(long delayMs) {
    if (delayMs > 0) {
      silenceCheck = loop.schedule(this::checkSilence, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void checkSilence() {
    long timeoutMs = startReported ? forward.gapTimeoutMs() : forward.firstByteTimeoutMs();
    long silentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastProgressNs);
    if (silentMs < timeoutMs || !callerWritable) {
      scheduleSilenceCheck(callerWritable ? timeoutMs - silentMs : timeoutMs);
      return;
    }
    eventSink.submit(atMs -> new ForwardSilent(atMs, forward.call(), forward.attempt()));
    scheduleSilenceCheck(timeoutMs);
  }
}
