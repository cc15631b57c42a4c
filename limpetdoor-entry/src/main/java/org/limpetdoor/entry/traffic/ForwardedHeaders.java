package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpHeaders;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers that are forwarded between callers and plain services. */
public final class ForwardedHeaders {
  /** Hop-by-hop headers (RFC 9110, 7.6.1) and headers that the HTTP client and server set. */
  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length",
          "expect",
          "accept-encoding");

  private ForwardedHeaders() {}

  /**
   * Returns the headers of a caller that are forwarded to a plain service. The Authorization header
   * is removed because its key identifies the caller to limpetdoor only.
   */
  public static Map<String, List<String>> toService(HttpHeaders headers) {
    Map<String, List<String>> forwarded = forwarded(headers);
    forwarded.keySet().removeIf(name -> name.equalsIgnoreCase("authorization"));
    return forwarded;
  }

  /** Returns the response headers of a back end that are forwarded to the caller. */
  static Map<String, List<String>> toCaller(HttpHeaders headers) {
    return forwarded(headers);
  }

  private static Map<String, List<String>> forwarded(HttpHeaders headers) {
    Map<String, List<String>> forwarded = new LinkedHashMap<>();
    for (String name : headers.names()) {
      String lowerCaseName = name.toLowerCase(Locale.ROOT);
      if (!NOT_FORWARDED.contains(lowerCaseName) && !lowerCaseName.startsWith("limpetdoor-")) {
        forwarded.put(name, headers.getAll(name));
      }
    }
    return forwarded;
  }
}
