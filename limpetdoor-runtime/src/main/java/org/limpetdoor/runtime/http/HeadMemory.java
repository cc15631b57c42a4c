package org.limpetdoor.runtime.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.function.Consumer;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.runtime.BodyMemory;

/**
 * What the requests of one connection take beside their bodies, as part of the memory of all
 * requests. Confined to the traffic thread.
 *
 * <p>It answers callers that send heads of very short lines: a line of four bytes takes more than a
 * hundred bytes as objects, so that a bound on the bytes of a head does not bound its memory.
 */
public final class HeadMemory implements HttpHeadersFactory, AutoCloseable {
  /**
   * Largest number of header lines. No head of 16 kB, the largest that configurations allow
   * callers, has more, since a line takes at least four bytes.
   */
  public static final int MAX_LINES = 4_096;

  /**
   * What a header line takes beside its bytes: an entry, two texts with their arrays, and the same
   * once more in the request to the engine.
   */
  private static final int LINE_BYTES = 256;

  private final BodyMemory.Reservation reservation;
  private final Consumer<OverloadReason> overload;
  private int lines;
  private int heldBytes;

  /**
   * Reserves nothing yet.
   *
   * @param memory memory that all requests share
   * @param overload receives the reason for each head that is refused
   */
  public HeadMemory(BodyMemory memory, Consumer<OverloadReason> overload) {
    this.reservation = memory.reserve();
    this.overload = overload;
  }

  /** Thrown when there is no memory for a head. */
  public static final class NoHeadMemoryException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    NoHeadMemoryException() {
      super("no memory for the heads of all requests");
    }
  }

  @Override
  public HttpHeaders newHeaders() {
    return new CountedHeaders();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return new CountedHeaders();
  }

  /** Returns whether no part of a request has been received since the last response. */
  public boolean isEmpty() {
    return lines == 0 && heldBytes == 0;
  }

  /** Returns the number of header lines of the current request, with its trailers. */
  int lines() {
    return lines;
  }

  /**
   * Reserves memory for bytes that are received but not decoded, and returns whether there is some.
   *
   * @param bytes size of the buffer that they are in, in bytes
   */
  boolean tryHold(int bytes) {
    if (bytes <= heldBytes) {
      return true;
    }
    if (!reservation.tryGrow(bytes - heldBytes)) {
      overload.accept(OverloadReason.HEAD_MEMORY);
      return false;
    }
    heldBytes = bytes;
    return true;
  }

  /** Releases the memory of a request whose response has been sent. */
  @Override
  public void close() {
    reservation.close();
    lines = 0;
    heldBytes = 0;
  }

  private void reserve(int bytes) {
    if (!reservation.tryGrow(bytes)) {
      overload.accept(OverloadReason.HEAD_MEMORY);
      throw new NoHeadMemoryException();
    }
  }

  private void addLine(CharSequence name, Object value) {
    lines++;
    if (lines > MAX_LINES) {
      overload.accept(OverloadReason.HEADER_LINES);
      throw new TooLongHttpHeaderException("more than " + MAX_LINES + " header lines");
    }
    reserve(LINE_BYTES + name.length() + value.toString().length());
  }

  /** Headers and trailers of a request; the decoder adds each line with this method. */
  private final class CountedHeaders extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      addLine(name, value);
      return super.add(name, value);
    }
  }
}
