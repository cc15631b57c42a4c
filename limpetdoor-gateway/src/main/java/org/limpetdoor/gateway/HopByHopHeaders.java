package org.limpetdoor.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Copies headers except the hop-by-hop ones, which apply to one connection only (RFC 9110, section
 * 7.6.1).
 */
final class HopByHopHeaders {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private HopByHopHeaders() {}

  static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
    Set<String> connectionNames = namesInConnectionHeader(from);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !connectionNames.contains(name)) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  private static Set<String> namesInConnectionHeader(HttpHeaders from) {
    if (!from.contains(HttpHeaderNames.CONNECTION)) {
      return Set.of();
    }
    Set<String> connectionNames = new HashSet<>();
    for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
      for (String token : value.split(",")) {
        connectionNames.add(token.trim().toLowerCase(Locale.ROOT));
      }
    }
    return connectionNames;
  }
}
