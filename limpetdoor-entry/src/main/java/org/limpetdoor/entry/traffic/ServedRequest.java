package org.limpetdoor.entry.traffic;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/** The request that a connection of a caller serves, as an attribute of the connection. */
public final class ServedRequest {
  private static final AttributeKey<OpenRequest> REQUEST =
      AttributeKey.valueOf(ServedRequest.class, "request");

  private ServedRequest() {}

  /** Sets the request; a connection serves one at a time. */
  public static void set(Channel connection, OpenRequest request) {
    connection.attr(REQUEST).set(request);
  }

  /**
   * Releases the memory of a whole response to the request, if the connection serves one. Called
   * when the connection itself counts the response, or has ended.
   */
  public static void responseWritten(Channel connection) {
    OpenRequest request = connection.attr(REQUEST).getAndSet(null);
    if (request != null) {
      request.responseWritten();
    }
  }
}
