package org.limpetdoor.runtime.peer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;
import java.util.function.BooleanSupplier;

/**
 * Decodes frames. Until the other side has proved that it is a peer, it may send short ones only:
 * strangers could otherwise hold a frame of full length on each connection.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
  /** Longest frame of a handshake; it has two names, a number, a nonce and a proof. */
  private static final int MAX_HANDSHAKE_BYTES = 1 << 10;

  private final BooleanSupplier established;

  FrameDecoder(int maxFrameBytes, int lengthBytes, BooleanSupplier established) {
    super(maxFrameBytes, 0, lengthBytes, 0, lengthBytes);
    this.established = established;
  }

  @Override
  protected long getUnadjustedFrameLength(
      ByteBuf bytes, int offset, int length, ByteOrder byteOrder) {
    long frameBytes = super.getUnadjustedFrameLength(bytes, offset, length, byteOrder);
    if (frameBytes > MAX_HANDSHAKE_BYTES && !established.getAsBoolean()) {
      throw new TooLongFrameException("frame of " + frameBytes + " bytes in a handshake");
    }
    return frameBytes;
  }
}
