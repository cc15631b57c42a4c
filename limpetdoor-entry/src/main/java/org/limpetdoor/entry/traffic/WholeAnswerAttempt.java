package org.limpetdoor.entry.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpResponse;
import java.io.IOException;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.request.AttemptFailure;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** A call whose answer is passed on as a whole. */
final class WholeAnswerAttempt extends UpstreamAttempt {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Argument<byte[]> BYTES = Argument.of(byte[].class);

  /** Twice the target between tokens. */
  private static final long MAX_MS_PER_TOKEN = 102;

  private volatile Disposable subscription;

  WholeAnswerAttempt(DispatchAttempt dispatch, OpenRequest request, Upstream upstream) {
    super(dispatch, request, upstream);
  }

  /** The first byte of a whole answer comes after its last token. */
  @Override
  long firstCheckMs() {
    return super.firstCheckMs() + MAX_MS_PER_TOKEN * request().spec().maxOutputTokens();
  }

  @Override
  void call() {
    subscription =
        Mono.from(upstream().client().exchange(httpRequest(), BYTES, BYTES))
            .subscribe(this::received, this::failed);
    if (hasEnded()) {
      close();
    }
  }

  @Override
  void close() {
    Disposable open = subscription;
    if (open != null) {
      open.dispose();
    }
  }

  @Override
  void checkTimeout() {
    failed(AttemptFailure.TIMED_OUT);
  }

  @Override
  void callerReady() {}

  private void received(HttpResponse<byte[]> answer) {
    noteStarted(answer.getHeaders());
    answerWhole(wholeResponse(answer), outputTokens(answer));
  }

  private int outputTokens(HttpResponse<byte[]> answer) {
    if (request().call().mode() == AnswerMode.SERVICE_ANSWER) {
      return 0;
    }
    try {
      byte[] body = answer.getBody().orElse(new byte[0]);
      return Math.max(0, JSON.readTree(body).at("/usage/completion_tokens").asInt(0));
    } catch (IOException e) {
      return 0;
    }
  }
}
