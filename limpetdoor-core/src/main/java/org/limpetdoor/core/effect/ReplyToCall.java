package org.limpetdoor.core.effect;

import org.limpetdoor.core.gateway.Reply;

/**
 * Answers a caller that has nothing of an answer yet.
 *
 * @param call number of the call
 * @param reply what is said
 * @param retryAfterMs time after which the caller may come back, in milliseconds; 0 if unknown
 */
public record ReplyToCall(long call, Reply reply, long retryAfterMs) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.replyToCall(this);
  }
}
