package org.limpetdoor.core.effect;

import org.limpetdoor.core.gateway.Reply;

/**
 * Answers a caller that has not received any part of a response.
 *
 * @param call number of the call
 * @param reply the reply
 * @param retryAfterMs time after which the caller may retry, in milliseconds; 0 if unknown
 */
public record ReplyToCall(long call, Reply reply, long retryAfterMs) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.replyToCall(this);
  }
}
