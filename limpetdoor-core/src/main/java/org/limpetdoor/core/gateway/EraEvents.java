package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.AdoptStoreEra;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.RoutesRead.Source;
import org.limpetdoor.core.event.StoreEraObserved;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.membership.Membership.Member;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/**
 * Reduces changes of the store's era. A store that was restored from a copy has lost what it
 * acknowledged last, and gives out offsets and generations again.
 */
public final class EraEvents {
  private EraEvents() {}

  /** Applies the era that an answer of the store stated. */
  public static Transition<NodeState, Effect> observed(NodeState node, StoreEraObserved event) {
    return learned(node, event.era(), Source.STORE);
  }

  /** Applies the latest era that a digest of a peer shows. */
  static Transition<NodeState, Effect> digestReceived(NodeState node, LoadDigest digest) {
    long ofList = digest.facts().listPosition().era();
    long ofDuty = DutyTerm.of(digest.fencingNumber()).era();
    return learned(node, Math.max(ofList, ofDuty), Source.PEER);
  }

  /** Applies an era, unless it is known already or past. The duty must be granted again. */
  static Transition<NodeState, Effect> learned(NodeState node, long era, Source source) {
    GatewayState state = node.gateway();
    if (EraOrder.of(era, state.store().era()) != EraOrder.LATER) {
      return Transition.of(node);
    }
    Transition<NodeState, Effect> result =
        Transition.<NodeState, Effect>of(
                node.withGateway(
                    state
                        .withStore(state.store().withEra(era, node.nowMs()))
                        .withDuty(state.duty().inEra(era, node.nowMs(), state.settings()))),
                new AdoptStoreEra(era))
            .with(new RecordDecision(GatewayDecision.storeEra(state.store().era(), era, source)));
    return state.duty().held()
        ? result.with(new RecordDecision(GatewayDecision.duty(false, state.duty().fencingNumber())))
        : result;
  }

  /**
   * Adds the members that a list lacks although they may be live. After a restoration all instances
   * write their entries again, and until {@code relistMs} have passed any of them may be missing.
   * An instance that takes longer stays a member of its peers while its digests arrive.
   */
  static List<ListedInstance> withUnlistedMembers(NodeState node, List<ListedInstance> instances) {
    GatewayState state = node.gateway();
    if (state.store().era() == 0) {
      return instances;
    }
    boolean relisting = state.store().isRelisting(node.nowMs(), state.settings().relistMs());
    Set<InstanceId> listed = instances.stream().map(ListedInstance::id).collect(Collectors.toSet());
    List<ListedInstance> result = new ArrayList<>(instances);
    for (Map.Entry<InstanceId, Member> member : node.membership().members().entrySet()) {
      boolean live = relisting || state.hasRecentDigest(member.getKey(), node.nowMs());
      if (live && !listed.contains(member.getKey())) {
        result.add(member.getValue().entry());
      }
    }
    return result;
  }
}
