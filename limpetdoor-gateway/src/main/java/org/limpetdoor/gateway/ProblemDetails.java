package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.limpetdoor.core.gateway.Reply;

/** Bodies of answers that the instance gives itself (RFC 9457). */
final class ProblemDetails {
  static final String CONTENT_TYPE = "application/problem+json";

  private ProblemDetails() {}

  /** Returns the body; it says whether the call ran. */
  static ByteBuf body(Reply reply) {
    String text =
        String.format(
            "{\"status\":%d,\"title\":\"%s\",\"outcome\":\"%s\"}",
            reply.status(), reply.label(), reply.notRun() ? "not_run" : "unknown");
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
