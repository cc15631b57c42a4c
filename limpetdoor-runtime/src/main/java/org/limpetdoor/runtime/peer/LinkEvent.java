package org.limpetdoor.runtime.peer;

/** Something that happened on a link. */
sealed interface LinkEvent {
  /** The TCP connection is open. */
  record Opened() implements LinkEvent {}

  /** A whole frame arrived. */
  record FrameReceived(byte[] bytes) implements LinkEvent {}

  /** This side wants to send a message. */
  record MessageQueued(byte[] payload) implements LinkEvent {}
}
