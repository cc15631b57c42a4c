package org.limpetdoor.entry.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.micronaut.http.client.exceptions.HttpClientException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.multipart.HttpPostRequestEncoder.ErrorDataEncoderException;
import java.net.UnknownHostException;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.request.AttemptFailure;

final class FailureClassifierTest {
  /** Guards against an unknown outcome of a call that was not sent. */
  @Test
  void failureBeforeFirstByteIsNotRun() {
    assertThat(classify(new UnknownHostException("name"))).isEqualTo(AttemptFailure.CONNECT_FAILED);
  }

  /** Guards against blaming a healthy back end for a request that cannot be encoded. */
  @Test
  void encodingFailureDoesNotBlameBackend() {
    assertThat(classify(new EncoderException("header"))).isEqualTo(AttemptFailure.NOT_SENT);
    assertThat(classify(new ErrorDataEncoderException("form"))).isEqualTo(AttemptFailure.NOT_SENT);
    assertThat(AttemptFailure.NOT_SENT.mayHaveRun()).isFalse();
    assertThat(AttemptFailure.NOT_SENT.indicatesBackendFault()).isFalse();
  }

  /** Guards against "not run" for an unreadable response, since its call may have run. */
  @Test
  void unreadableResponseMayHaveRun() {
    Exception unreadable = new DecoderException(new IllegalArgumentException("version"));

    assertThat(classify(unreadable).mayHaveRun()).isTrue();
    assertThat(classify(new IllegalArgumentException("version")).mayHaveRun()).isTrue();
  }

  private static AttemptFailure classify(Exception cause) {
    return FailureClassifier.classify(new HttpClientException("failed", cause));
  }
}
