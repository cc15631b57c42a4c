package org.limpetdoor.entry.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.core.io.buffer.ByteArrayBufferFactory;
import io.micronaut.http.ByteBodyHttpResponse;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.body.ByteBodyFactory;
import io.micronaut.http.body.CloseableByteBody;
import io.micronaut.http.client.exceptions.ContentLengthExceededException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.request.AttemptFailure;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** An attempt whose response is buffered and relayed as a whole. */
final class BufferedResponseAttempt extends BackendAttempt {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ByteBodyFactory BODIES =
      ByteBodyFactory.createDefault(ByteArrayBufferFactory.INSTANCE);

  private static final int CLIENT_ERROR = 400;

  /** Closes a body only after its response has been passed on. */
  private static final boolean EAGER_CLEANUP = false;

  /** Twice the target gap between tokens. */
  private static final long MAX_MS_PER_TOKEN = 102;

  /**
   * A response and its body, which is closed unless the request takes over its memory.
   *
   * @param response the response, with the content of the body
   * @param body its body
   */
  private record Received(HttpResponse<ByteBuf> response, ReceivedBody body) {}

  private volatile Disposable subscription;

  BufferedResponseAttempt(
      DispatchAttempt dispatch, OpenRequest request, AttemptResources resources) {
    super(dispatch, request, resources);
  }

  /** Adds the generation time, since an engine sends the first byte after the last token. */
  @Override
  long firstCheckDelayMs() {
    return super.firstCheckDelayMs() + MAX_MS_PER_TOKEN * request().spec().maxOutputTokens();
  }

  @Override
  void sendRequest(MutableHttpRequest<Object> outgoing) {
    CloseableByteBody body = BODIES.adapt(request().call().body().orElse(new byte[0]));
    subscription =
        Mono.from(resources().rawClient().exchange(outgoing, body, null))
            .flatMap(this::bufferBody)
            .subscribe(this::responseReceived, this::failed);
    if (hasEnded()) {
      close();
    }
  }

  @Override
  void close() {
    Disposable current = subscription;
    if (current != null) {
      current.dispose();
    }
  }

  @Override
  void checkTimeout() {
    failed(AttemptFailure.TIMED_OUT);
  }

  @Override
  void resumeReading() {}

  /** Reads the body for any status; the raw client does not fail on an error status. */
  private Mono<Received> bufferBody(HttpResponse<?> response) {
    ByteBodyHttpResponse<?> raw = (ByteBodyHttpResponse<?>) response;
    return Mono.using(
            () -> new ReceivedBody(resources().responseMemory()),
            body ->
                Flux.from(raw.byteBody().toByteArrayPublisher())
                    .collect(() -> body, BufferedResponseAttempt::appendBounded)
                    .map(received -> new Received(copyOf(response, body.content()), body)),
            ReceivedBody::close,
            EAGER_CLEANUP)
        .doFinally(signal -> raw.close());
  }

  private static void appendBounded(ReceivedBody body, byte[] part) {
    long lengthBytes = (long) body.lengthBytes() + part.length;
    if (lengthBytes > AttemptEffects.MAX_RESPONSE_BYTES || !body.append(part)) {
      throw new ContentLengthExceededException(AttemptEffects.MAX_RESPONSE_BYTES, lengthBytes);
    }
  }

  private static HttpResponse<ByteBuf> copyOf(HttpResponse<?> response, ByteBuf content) {
    MutableHttpResponse<ByteBuf> copy = HttpResponse.status(response.code(), response.reason());
    response.getHeaders().forEach((name, values) -> values.forEach(v -> copy.header(name, v)));
    return copy.body(content);
  }

  private void responseReceived(Received received) {
    HttpResponse<ByteBuf> response = received.response();
    if (response.code() >= CLIENT_ERROR) {
      handleErrorResponse(response, received.body());
      return;
    }
    if (isForOtherAttempt(response.getHeaders())) {
      failed(AttemptFailure.ERROR_ANSWER);
      return;
    }
    reportStarted(response.getHeaders());
    relayResponse(toCallerResponse(response), outputTokens(response.body()), received.body());
  }

  private int outputTokens(ByteBuf content) {
    if (request().call().mode() == ResponseMode.SERVICE_RESPONSE) {
      return 0;
    }
    try (InputStream json = new ByteBufInputStream(content.duplicate())) {
      return Math.max(0, JSON.readTree(json).at("/usage/completion_tokens").asInt(0));
    } catch (IOException e) {
      return 0;
    }
  }
}
