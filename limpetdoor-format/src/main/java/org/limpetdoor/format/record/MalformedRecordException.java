package org.limpetdoor.format.record;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when bytes are not a log record, or when a record cannot be encoded. */
public final class MalformedRecordException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  MalformedRecordException(String message, Throwable cause) {
    super("malformed log record: " + message, null, cause);
  }
}
