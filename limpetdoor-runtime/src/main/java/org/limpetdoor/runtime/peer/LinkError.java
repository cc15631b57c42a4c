package org.limpetdoor.runtime.peer;

/** Why a link to a peer ended. */
public enum LinkError {
  /** The connection could not be opened. */
  CONNECT_FAILED("connect_failed"),
  /** The other side closed the connection, or it broke. */
  CLOSED("closed"),
  /** A frame could not be decoded. */
  MALFORMED_FRAME("malformed_frame"),
  /** A frame was longer than the limit. */
  FRAME_TOO_LARGE("frame_too_large"),
  /** The other side speaks another protocol version. */
  VERSION_MISMATCH("version_mismatch"),
  /** The other side does not know the shared secret, or a frame was changed on its way. */
  AUTHENTICATION_FAILED("authentication_failed"),
  /** Nothing was received for longer than the limit. */
  SILENT("silent"),
  /** Another link to the same peer is kept instead. */
  DUPLICATE("duplicate"),
  /** The other side does not read fast enough, and too much waits to be sent. */
  SEND_BACKLOG("send_backlog");

  private final String label;

  LinkError(String label) {
    this.label = label;
  }

  /** Returns the word used in log lines and metrics. */
  public String label() {
    return label;
  }
}
