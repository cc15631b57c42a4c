package org.limpetdoor.gateway;

import java.util.function.Consumer;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.GatewayEffect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.runtime.decision.LogLine;

/** Dispatches each effect of the reducer to the component that executes it. */
final class GatewayEffectDispatcher {
  private final GatewayTraffic traffic;
  private final PeerLinks peers;
  private final DecisionLog log;
  private final Consumer<StopInstance.Reason> stop;

  GatewayEffectDispatcher(
      GatewayTraffic traffic,
      PeerLinks peers,
      DecisionLog log,
      Consumer<StopInstance.Reason> stop) {
    this.traffic = traffic;
    this.peers = peers;
    this.log = log;
    this.stop = stop;
  }

  /**
   * Dispatches an effect. Effects that only the entry front end handles are logged as unexpected.
   */
  void dispatch(Effect effect) {
    if (effect instanceof GatewayEffect gateway) {
      traffic.apply(gateway);
    } else if (effect instanceof RecordDecision record) {
      log.record(record.decision());
    } else if (effect instanceof SendToPeer message) {
      peers.send(message);
    } else if (effect instanceof ConnectPeer connection) {
      peers.connect(connection);
    } else if (effect instanceof StopInstance stopRequest) {
      stop.accept(stopRequest.reason());
    } else {
      log.write(LogLine.event("effect_unexpected").with("effect", effect));
    }
  }
}
