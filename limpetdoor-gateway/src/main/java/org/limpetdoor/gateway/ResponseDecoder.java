package org.limpetdoor.gateway;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.limpetdoor.core.request.StatusKind;

/**
 * Decodes responses and fails those whose status line has no valid status. The decoder of Netty
 * accepts every number, also a negative one or one with leading zeros.
 */
class ResponseDecoder extends HttpResponseDecoder {
  private static final int STATUS_INDEX = 1;

  @Override
  protected final HttpMessage createMessage(String[] initialLine) {
    if (StatusKind.of(initialLine[STATUS_INDEX]) == StatusKind.INVALID) {
      throw new IllegalArgumentException("invalid status " + initialLine[STATUS_INDEX]);
    }
    return super.createMessage(initialLine);
  }
}
