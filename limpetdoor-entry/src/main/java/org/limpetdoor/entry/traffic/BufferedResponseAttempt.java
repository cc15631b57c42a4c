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
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.request.AttemptFailure;
import org.limpetdoor.runtime.BodyMemory;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** An attempt whose response is buffered and relayed as a whole. */
final class BufferedResponseAttempt extends BackendAttempt {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ByteBodyFactory BODIES =
      ByteBodyFactory.createDefault(ByteArrayBufferFactory.INSTANCE);

  private static final int CLIENT_ERROR = 400;

  /** Releases what is left of a reservation only after the response has been passed on. */
  private static final boolean EAGER_CLEANUP = false;

  /** Twice the target gap between tokens. */
  private static final long MAX_MS_PER_TOKEN = 102;

  /**
   * A response with what it has reserved.
   *
   * @param response the response
   * @param memory its reservation, which is released unless the request takes it over
   */
  private record Received(HttpResponse<byte[]> response, BodyMemory.Reservation memory) {}

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
            resources().responseMemory()::reserve,
            reservation ->
                Flux.from(raw.byteBody().toByteArrayPublisher())
                    .collect(
                        ByteArrayOutputStream::new,
                        (bytes, part) -> appendBounded(bytes, part, reservation))
                    .map(bytes -> new Received(copyOf(response, bytes.toByteArray()), reservation)),
            BodyMemory.Reservation::close,
            EAGER_CLEANUP)
        .doFinally(signal -> raw.close());
  }

  private static void appendBounded(
      ByteArrayOutputStream bytes, byte[] part, BodyMemory.Reservation reservation) {
    long length = (long) bytes.size() + part.length;
    if (length > AttemptEffects.MAX_RESPONSE_BYTES || !reservation.tryGrow(part.length)) {
      throw new ContentLengthExceededException(AttemptEffects.MAX_RESPONSE_BYTES, length);
    }
    bytes.writeBytes(part);
  }

  private static HttpResponse<byte[]> copyOf(HttpResponse<?> response, byte[] body) {
    MutableHttpResponse<byte[]> copy = HttpResponse.status(response.code(), response.reason());
    response.getHeaders().forEach((name, values) -> values.forEach(v -> copy.header(name, v)));
    return copy.body(body);
  }

  private void responseReceived(Received received) {
    HttpResponse<byte[]> response = received.response();
    if (response.code() >= CLIENT_ERROR) {
      handleErrorResponse(response, received.memory());
      return;
    }
    if (isForOtherAttempt(response.getHeaders())) {
      failed(AttemptFailure.ERROR_ANSWER);
      return;
    }
    reportStarted(response.getHeaders());
    relayResponse(toCallerResponse(response), outputTokens(response), received.memory());
  }

  private int outputTokens(HttpResponse<byte[]> response) {
    if (request().call().mode() == ResponseMode.SERVICE_RESPONSE) {
      return 0;
    }
    try {
      byte[] body = response.getBody().orElse(new byte[0]);
      return Math.max(0, JSON.readTree(body).at("/usage/completion_tokens").asInt(0));
    } catch (IOException e) {
      return 0;
    }
  }
}
