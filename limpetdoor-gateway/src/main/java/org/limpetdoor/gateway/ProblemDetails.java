package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.limpetdoor.core.gateway.Reply;

/** Bodies of responses that the gateway itself generates (RFC 9457). */
final class ProblemDetails {
  static final String CONTENT_TYPE = "application/problem+json";

  private ProblemDetails() {}

  /** Returns the body, which states whether the call is known not to have run. */
  static ByteBuf body(Reply reply) {
    String text =
        String.format(
            "{\"status\":%d,\"title\":\"%s\",\"outcome\":\"%s\"}",
            reply.status(), reply.label(), reply.notRun() ? "not_run" : "unknown");
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
