package org.limpetdoor.runtime.peer;

/** The reasons for which a link to a peer ends. */
public enum LinkError {
  /** The connection could not be opened. */
  CONNECT_FAILED("connect_failed"),
  /** The other side closed the connection, or the connection was lost. */
  CLOSED("closed"),
  /** A frame could not be decoded. */
  MALFORMED_FRAME("malformed_frame"),
  /** A frame exceeded the maximum length. */
  FRAME_TOO_LARGE("frame_too_large"),
  /** The other side uses a different protocol version. */
  VERSION_MISMATCH("version_mismatch"),
  /** The other side does not have the shared secret, or a frame was modified in transit. */
  AUTHENTICATION_FAILED("authentication_failed"),
  /** No frame was received within the silence timeout. */
  SILENT("silent"),
  /** Another link to the same peer is kept instead. */
  DUPLICATE("duplicate"),
  /** The other side reads too slowly, and the send buffer is full. */
  SEND_BACKLOG("send_backlog");

  private final String label;

  LinkError(String label) {
    this.label = label;
  }

  /** Returns the name used in log lines and metrics. */
  public String label() {
    return label;
  }
}
