package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.limpetdoor.core.gateway.Reply;

/** Responses that the gateway itself generates (RFC 9457). */
final class ProblemDetails {
  private static final String CONTENT_TYPE = "application/problem+json";
  private static final String AUTHENTICATION_SCHEME = "Bearer";
  private static final double MS_PER_S = 1_000;

  private ProblemDetails() {}

  /**
   * Returns a response, whose body states whether the call is known not to have run.
   *
   * @param reply status and outcome
   * @param retryAfterMs time after which the caller may retry, in milliseconds; 0 if not stated
   */
  static FullHttpResponse response(Reply reply, long retryAfterMs) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), body(reply));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE);
    if (retryAfterMs > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMs / MS_PER_S);
    }
    if (reply == Reply.UNAUTHENTICATED) {
      response.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, AUTHENTICATION_SCHEME);
    }
    return response;
  }

  private static ByteBuf body(Reply reply) {
    String text =
        String.format(
            "{\"status\":%d,\"title\":\"%s\",\"outcome\":\"%s\"}",
            reply.status(), reply.label(), reply.notRun() ? "not_run" : "unknown");
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
