package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.InstanceId;

/**
 * Makes one attempt to open a link to a peer. Results in {@code PeerLinkUp} or {@code
 * PeerLinkDown}.
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
