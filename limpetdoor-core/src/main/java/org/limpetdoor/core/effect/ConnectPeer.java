package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.InstanceId;

/**
 * Opens a link to a peer, once. Ends in {@code PeerLinkUp} or {@code PeerLinkDown}.
 *
 * @param peer the peer
 * @param address its address as {@code ip:port}
 */
public record ConnectPeer(InstanceId peer, String address) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.connectPeer(this);
  }
}
