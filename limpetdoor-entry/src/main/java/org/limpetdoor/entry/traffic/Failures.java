package org.limpetdoor.entry.traffic;

import io.micronaut.http.client.exceptions.ContentLengthExceededException;
import io.micronaut.http.client.exceptions.ReadTimeoutException;
import java.net.ConnectException;
import org.limpetdoor.core.request.AttemptFailure;

/** Tells how a call failed from what the HTTP client reports. */
final class Failures {
  private Failures() {}

  /** Returns the kind of a failure without an answer. */
  static AttemptFailure of(Throwable error) {
    if (hasCause(error, ConnectException.class)) {
      return AttemptFailure.CONNECT_FAILED;
    }
    if (hasCause(error, ReadTimeoutException.class)) {
      return AttemptFailure.TIMED_OUT;
    }
    boolean tooLong =
        hasCause(error, ContentLengthExceededException.class)
            || hasCause(error, SseDecoder.EventTooLongException.class);
    return tooLong ? AttemptFailure.ERROR_ANSWER : AttemptFailure.CONNECTION_LOST;
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
