package org.limpetdoor.entry.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.micronaut.http.client.exceptions.HttpClientException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.multipart.HttpPostRequestEncoder.ErrorDataEncoderException;
import java.net.UnknownHostException;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.request.AttemptFailure;

final class FailuresTest {
  /** Guards against an unknown outcome of a call that was not sent. */
  @Test
  void failureBeforeTheFirstByteDidNotRun() {
    assertThat(of(new UnknownHostException("name"))).isEqualTo(AttemptFailure.CONNECT_FAILED);
  }

  /** Guards against blaming a healthy back end for a request that cannot be encoded. */
  @Test
  void requestThatCannotBeEncodedIsNotTheFaultOfTheBackEnd() {
    assertThat(of(new EncoderException("header"))).isEqualTo(AttemptFailure.NOT_SENT);
    assertThat(of(new ErrorDataEncoderException("form"))).isEqualTo(AttemptFailure.NOT_SENT);
    assertThat(AttemptFailure.NOT_SENT.mayHaveRun()).isFalse();
    assertThat(AttemptFailure.NOT_SENT.indicatesBackendFault()).isFalse();
  }

  /** Guards against "not run" for an unreadable response, since its call may have run. */
  @Test
  void unreadableAnswerMayHaveRun() {
    Exception unreadable = new DecoderException(new IllegalArgumentException("version"));

    assertThat(of(unreadable).mayHaveRun()).isTrue();
    assertThat(of(new IllegalArgumentException("version")).mayHaveRun()).isTrue();
  }

  private static AttemptFailure of(Exception cause) {
    return FailureClassifier.of(new HttpClientException("failed", cause));
  }
}
