package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage;

/**
 * Sends a message on the link to a peer. The message is dropped if there is no established link.
 *
 * @param peer the peer
 * @param message the message
 */
public record SendToPeer(InstanceId peer, PeerMessage message) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.sendToPeer(this);
  }
}
