package org.limpetdoor.entry.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.http.BufferedBody;

/**
 * Body of a response that is received as a whole. Safe for use by any thread, since the thread that
 * cancels an attempt closes its body while another one may be receiving it.
 */
final class ReceivedBody implements AutoCloseable {
  private final BufferedBody body;
  private boolean closed;

  /**
   * Creates an empty body.
   *
   * @param memory memory that all responses share
   */
  ReceivedBody(BodyMemory memory) {
    this.body = new BufferedBody(memory);
  }

  /** Appends a part, which a closed body drops; returns false if there is no memory for it. */
  synchronized boolean append(byte[] part) {
    return closed || body.append(Unpooled.wrappedBuffer(part));
  }

  /** Returns the length, in bytes. */
  synchronized int lengthBytes() {
    return body.lengthBytes();
  }

  /** Returns the content, which stays valid when the body is closed. */
  synchronized ByteBuf content() {
    return body.content();
  }

  /** Moves what the content has reserved to a new owner, which holds the content from now on. */
  synchronized BodyMemory.Reservation detachMemory() {
    return body.detachMemory();
  }

  /** Releases what is still reserved. */
  @Override
  public synchronized void close() {
    closed = true;
    body.close();
  }
}
