package org.limpetdoor.entry.traffic;

import io.micronaut.http.client.exceptions.ContentLengthExceededException;
import io.micronaut.http.client.exceptions.ReadTimeoutException;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.multipart.HttpPostRequestEncoder.ErrorDataEncoderException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.util.List;
import org.limpetdoor.core.request.AttemptFailure;

/** Classifies failures that the HTTP client reports. */
final class FailureClassifier {
  /** Request encoding failures, which occur before the first byte is sent. */
  private static final List<Class<? extends Exception>> ENCODING_FAILURES =
      List.of(EncoderException.class, ErrorDataEncoderException.class);

  /** Connection failures, which occur before the request is sent. */
  private static final List<Class<? extends Exception>> CONNECTION_FAILURES =
      List.of(ConnectException.class, NoRouteToHostException.class, UnknownHostException.class);

  private FailureClassifier() {}

  /** Classifies the failure of a call without an error response. */
  static AttemptFailure classify(Throwable error) {
    if (ENCODING_FAILURES.stream().anyMatch(type -> hasCause(error, type))) {
      return AttemptFailure.NOT_SENT;
    }
    if (CONNECTION_FAILURES.stream().anyMatch(type -> hasCause(error, type))) {
      return AttemptFailure.CONNECT_FAILED;
    }
    if (hasCause(error, ReadTimeoutException.class)) {
      return AttemptFailure.TIMED_OUT;
    }
    if (hasCause(error, InvalidStatusException.class)) {
      return AttemptFailure.INVALID_ANSWER;
    }
    boolean responseTooLarge =
        hasCause(error, ContentLengthExceededException.class)
            || hasCause(error, SseDecoder.EventTooLongException.class);
    return responseTooLarge ? AttemptFailure.ERROR_ANSWER : AttemptFailure.CONNECTION_LOST;
  }

  private static boolean hasCause(Throwable error, Class<? extends Throwable> type) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (type.isInstance(cause)) {
        return true;
      }
    }
    return false;
  }
}
