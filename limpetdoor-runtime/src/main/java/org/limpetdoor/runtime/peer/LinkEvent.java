package org.limpetdoor.runtime.peer;

/** The events of {@link LinkReducer}. */
sealed interface LinkEvent {
  /** The TCP connection is open. */
  record ConnectionOpened() implements LinkEvent {}

  /** A complete frame was received. */
  record FrameReceived(byte[] bytes) implements LinkEvent {}

  /** This side queued a message to be sent. */
  record MessageQueued(byte[] payload) implements LinkEvent {}
}
