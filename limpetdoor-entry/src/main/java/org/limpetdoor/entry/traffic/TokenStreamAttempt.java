package org.limpetdoor.entry.traffic;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.request.AttemptFailure;
import org.limpetdoor.entry.traffic.SseDecoder.SseEvent;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/** An attempt whose tokens are relayed to the caller as they arrive. */
final class TokenStreamAttempt extends BackendAttempt {
  /** Longest gap between tokens before the back end is considered stalled; the target is 51 ms. */
  private static final long MAX_TOKEN_GAP_MS = 5_000;

  /** Longest time for which a caller that does not read may occupy a slot of an engine. */
  private static final long MAX_CALLER_SILENCE_MS = 30_000;

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DONE_MARKER = "[DONE]";

  private final SseDecoder decoder = new SseDecoder();
  private final PartSubscriber subscriber = new PartSubscriber();
  private final AtomicBoolean paused = new AtomicBoolean();
  private final boolean resumed;
  private volatile long lastActivityNs;
  private int outputTokens;

  TokenStreamAttempt(DispatchAttempt dispatch, OpenRequest request, AttemptResources resources) {
    super(dispatch, request, resources);
    this.resumed = request.responseStarted();
    this.outputTokens = dispatch.resumeAtToken();
  }

  @Override
  void sendRequest(MutableHttpRequest<Object> outgoing) {
    request().call().body().ifPresent(outgoing::body);
    resources().client().exchangeStream(outgoing).subscribe(subscriber);
    if (hasEnded()) {
      close();
    }
  }

  @Override
  void close() {
    subscriber.cancel();
  }

  @Override
  void resumeReading() {
    if (paused.compareAndSet(true, false)) {
      lastActivityNs = System.nanoTime();
      subscriber.request(1);
    }
  }

  @Override
  void checkTimeout() {
    if (!hasStarted()) {
      failed(AttemptFailure.TIMED_OUT);
      return;
    }
    long silentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastActivityNs);
    long limitMs = paused.get() ? MAX_CALLER_SILENCE_MS : MAX_TOKEN_GAP_MS;
    if (silentMs < limitMs) {
      scheduleCheck(limitMs - silentMs);
    } else if (paused.get()) {
      request().abortSlowCaller(new SlowCallerException(silentMs));
    } else {
      failed(AttemptFailure.TIMED_OUT);
    }
  }

  private void partReceived(HttpResponse<ByteBuffer<?>> part) {
    lastActivityNs = System.nanoTime();
    if (!hasStarted()) {
      if (isForOtherAttempt(part.getHeaders()) || !startsWhereRequested(part.getHeaders())) {
        failed(AttemptFailure.ERROR_ANSWER);
        return;
      }
      reportStarted(part.getHeaders());
      scheduleCheck(MAX_TOKEN_GAP_MS);
    }
    byte[] bytes = part.getBody().map(ByteBuffer::toByteArray).orElse(new byte[0]);
    for (SseEvent event : decoder.decode(bytes)) {
      relay(event);
    }
    requestNextPart();
  }

  /**
   * Returns whether a stream starts at the requested token. An engine that does not state this for
   * a resumed stream may have started it again from its beginning.
   */
  private boolean startsWhereRequested(HttpHeaders headers) {
    String requested = String.valueOf(resumeAtToken());
    return !resumed || requested.equals(headers.get(RESUME_HEADER));
  }

  private void relay(SseEvent event) {
    if (hasEnded()) {
      return;
    }
    if (event.data().equals(DONE_MARKER)) {
      relayLast(event);
    } else if (event.name().equals("error")) {
      failed(AttemptFailure.ERROR_ANSWER);
    } else {
      relayChunk(event);
    }
  }

  private void relayLast(SseEvent event) {
    if (request().emitLast(id(), event)) {
      completed(outputTokens);
    }
  }

  private void relayChunk(SseEvent event) {
    Chunk chunk = Chunk.parse(event.data());
    if (chunk.isError()) {
      failed(AttemptFailure.ERROR_ANSWER);
      return;
    }
    if (resumed && chunk.isRoleOnly()) {
      return;
    }
    if (request().emit(id(), event, chunk.tokens())) {
      outputTokens += chunk.tokens();
    }
  }

  /** Requests the next part, or pauses while the event buffer of the caller is full. */
  private void requestNextPart() {
    if (!request().callerBufferFull()) {
      subscriber.request(1);
      return;
    }
    paused.set(true);
    if (!request().callerBufferFull()) {
      resumeReading();
    }
  }

  /** The properties of a chunk that relaying depends on. */
  private record Chunk(boolean hasContent, boolean endsAnswer, boolean isError) {
    private static final Chunk ERROR = new Chunk(false, false, true);

    static Chunk parse(String data) {
      try {
        JsonNode root = JSON.readTree(data);
        JsonNode choice = root.path("choices").path(0);
        boolean content = !choice.path("delta").path("content").asText("").isEmpty();
        boolean last = choice.hasNonNull("finish_reason") || root.hasNonNull("usage");
        boolean error = !root.isObject() || root.hasNonNull("error");
        return error ? ERROR : new Chunk(content, last, false);
      } catch (JsonProcessingException e) {
        return ERROR;
      }
    }

    int tokens() {
      return hasContent ? 1 : 0;
    }

    /** Returns whether the chunk holds only the role, which a resumed stream must not repeat. */
    boolean isRoleOnly() {
      return !hasContent && !endsAnswer;
    }
  }

  private final class PartSubscriber extends BaseSubscriber<HttpResponse<ByteBuffer<?>>> {
    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      subscription.request(1);
    }

    @Override
    protected void hookOnNext(HttpResponse<ByteBuffer<?>> part) {
      partReceived(part);
    }

    @Override
    protected void hookOnError(Throwable error) {
      failed(error);
    }

    @Override
    protected void hookOnComplete() {
      failed(AttemptFailure.CONNECTION_LOST);
    }
  }
}
