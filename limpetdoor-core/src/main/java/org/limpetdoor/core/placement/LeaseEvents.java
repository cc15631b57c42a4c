package org.limpetdoor.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.Lease;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.LeaseReleased;
import org.limpetdoor.core.agreed.LogRecord.LeaseRenewed;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.Membership.Member;

/** Claims, renews and releases the leases of shards. */
public final class LeaseEvents {
  /** Interval between renewals, in milliseconds. */
  static final long RENEW_INTERVAL_MS = 5_000;

  /**
   * Time without a renewal after which a lease is taken over, in milliseconds. Two lost renewals
   * are tolerated.
   */
  static final long TTL_MS = 15_000;

  /**
   * Additional delay of each lower rank before it claims a lease, in milliseconds. The list of
   * instances lags, so the first rank may be down; an append and its read fit into this delay.
   */
  static final long RANK_DELAY_MS = 3_000;

  /**
   * Time without a read of the log after which missing renewals are no evidence against a lease
   * holder, in milliseconds.
   */
  static final long LOG_SILENCE_LIMIT_MS = 5_000;

  /**
   * Time that an instance must have been listed before leases are handed over to it, in
   * milliseconds.
   */
  static final long MIN_LISTED_MS = 30_000;

  /** Maximum number of leases handed over at once, so that placement pauses for few shards. */
  static final int MAX_HANDOVERS = 4;

  private LeaseEvents() {}

  /** Returns whether this process holds the lease of a shard, as far as it has read the log. */
  public static boolean holds(NodeState state, int shard) {
    Lease lease = state.agreed().leases().get(shard);
    return lease.holder().isPresent()
        && tracker(state).ownEpoch(shard).filter(epoch -> epoch == lease.epoch()).isPresent();
  }

  /** Returns the shards whose lease this process holds, in ascending order. */
  public static List<Integer> heldShards(NodeState state) {
    return tracker(state).ownEpochs().keySet().stream()
        .filter(shard -> holds(state, shard))
        .sorted()
        .toList();
  }

  /** Returns whether the log was read recently and without a gap. */
  public static boolean followsLog(NodeState state) {
    LogReader reader = state.coordination().reader();
    return !reader.hasGap()
        && reader.lastReadMs() != LogReader.NEVER
        && state.nowMs() - reader.lastReadMs() <= LOG_SILENCE_LIMIT_MS;
  }

  /** Records the start of the instance. */
  public static NodeState started(NodeState state) {
    LogReader reader = state.coordination().reader();
    NodeState updated =
        state.withCoordination(
            state
                .coordination()
                .withReader(reader.withSnapshot(state.nowMs(), reader.lastSnapshotOffset())));
    return withTracker(updated, tracker(updated).withTrackingRestarted(updated.nowMs()));
  }

  /**
   * Records a read of the log. After an outage, the silence of all leases is measured from now,
   * because their holders could not renew them.
   */
  public static NodeState logRead(NodeState state) {
    boolean outage = !state.coordination().reader().hasGap() && !followsLog(state);
    return outage ? adopted(state) : state;
  }

  /** Records that the agreed state was replaced. The silence of all leases is measured from now. */
  public static NodeState adopted(NodeState state) {
    return withTracker(state, tracker(state).withTrackingRestarted(state.nowMs()));
  }

  /** Updates the tracking of leases after a record was folded. */
  public static Transition<NodeState, Effect> folded(
      NodeState state, StoredRecord stored, LogRecord content) {
    if (content instanceof LeaseClaimed claim) {
      return Transition.of(recordClaimed(state, stored, claim));
    }
    if (content instanceof LeaseRenewed renewal) {
      return Transition.of(recordReceived(state, stored, renewal.shard()));
    }
    if (content instanceof LeaseReleased release) {
      return Transition.of(recordReceived(state, stored, release.shard()));
    }
    return Transition.of(state);
  }

  /** Renews the leases of this process and claims expired ones. */
  public static Transition<NodeState, Effect> tick(NodeState state) {
    if (!followsLog(state)) {
      return Transition.of(state);
    }
    return renewIfDue(state).then(LeaseEvents::claimExpired);
  }

  /** Releases all leases of this process, for a graceful shutdown. */
  public static Transition<NodeState, Effect> releaseAll(NodeState state) {
    return release(state, heldShards(state));
  }

  private static Transition<NodeState, Effect> renewIfDue(NodeState state) {
    if (state.nowMs() - tracker(state).lastRenewedMs() < RENEW_INTERVAL_MS) {
      return Transition.of(state);
    }
    List<Integer> handedOver = shardsToHandOver(state);
    Transition<NodeState, Effect> result =
        Transition.of(withTracker(state, tracker(state).withRenewedAt(state.nowMs())));
    for (int shard : heldShards(state)) {
      long epoch = tracker(state).ownEpochs().get(shard);
      if (!handedOver.contains(shard)) {
        result = result.then(s -> OutboxEvents.submit(s, new LeaseRenewed(shard, epoch)));
      }
    }
    return result.then(s -> release(s, handedOver));
  }

  /**
   * Returns held shards without unsettled orders for which another member ranks first, if that
   * member has been listed for {@link #MIN_LISTED_MS}.
   */
  private static List<Integer> shardsToHandOver(NodeState state) {
    List<Integer> shards = new ArrayList<>();
    for (int shard : heldShards(state)) {
      InstanceId first = ranked(state, shard).get(0);
      Member member = state.membership().members().get(first);
      boolean listedLongEnough =
          member != null && state.nowMs() - member.listedSinceMs() >= MIN_LISTED_MS;
      boolean other = !first.equals(state.self().id());
      if (other && listedLongEnough && isIdle(state, shard) && shards.size() < MAX_HANDOVERS) {
        shards.add(shard);
      }
    }
    return shards;
  }

  private static boolean isIdle(NodeState state, int shard) {
    return state.agreed().ledger().enginesOf(shard).stream()
        .allMatch(engine -> state.agreed().ledger().account(engine).pending().isEmpty());
  }

  private static Transition<NodeState, Effect> release(NodeState state, List<Integer> shards) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (int shard : shards) {
      long epoch = tracker(state).ownEpochs().get(shard);
      result =
          result
              .then(s -> Transition.of(withTracker(s, tracker(s).withoutOwnEpoch(shard))))
              .then(s -> OutboxEvents.submit(s, new LeaseReleased(shard, epoch)));
    }
    return result;
  }

  private static Transition<NodeState, Effect> claimExpired(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (Map.Entry<Integer, Lease> entry : usedLeases(state).entrySet()) {
      int shard = entry.getKey();
      LeaseClaimed claim =
          new LeaseClaimed(shard, state.self().id(), entry.getValue().epoch(), TTL_MS);
      if (isClaimDue(state, shard, entry.getValue())
          && !state.coordination().outbox().contains(claim)) {
        result = result.then(s -> OutboxEvents.submit(s, claim));
      }
    }
    return result;
  }

  /**
   * Returns the leases of shards with engines and of the first shard, whose holder takes the
   * snapshots.
   */
  private static Map<Integer, Lease> usedLeases(NodeState state) {
    Map<Integer, Lease> leases = new TreeMap<>();
    leases.put(0, state.agreed().leases().get(0));
    for (int shard : state.agreed().ledger().engines().keySet()) {
      leases.put(shard, state.agreed().leases().get(shard));
    }
    return leases;
  }

  private static boolean isClaimDue(NodeState state, int shard, Lease lease) {
    if (holds(state, shard)) {
      return false;
    }
    boolean heldUnderOwnName = lease.holder().filter(state.self().id()::equals).isPresent();
    if (heldUnderOwnName
        && tracker(state).ownEpoch(shard).isEmpty()
        && !isReleasing(state, shard, lease)) {
      return true;
    }
    long silentMs = tracker(state).silentMs(shard, state.nowMs());
    long ttlMs = lease.holder().isPresent() ? lease.ttlMs() : 0;
    return silentMs >= ttlMs
        && silentMs >= ttlMs + RANK_DELAY_MS * ranked(state, shard).indexOf(state.self().id());
  }

  private static boolean isReleasing(NodeState state, int shard, Lease lease) {
    return state.coordination().outbox().contains(new LeaseReleased(shard, lease.epoch()));
  }

  private static List<InstanceId> ranked(NodeState state, int shard) {
    return state.membership().ranked(state.self().id(), "shard-" + shard);
  }

  private static NodeState recordClaimed(NodeState state, StoredRecord stored, LeaseClaimed claim) {
    Lease lease = state.agreed().leases().get(claim.shard());
    if (lease.epoch() != stored.offset()) {
      return state;
    }
    boolean own = stored.envelope().id().appender().equals(state.self().appender());
    LeaseTracker next = tracker(state).withReceivedAt(claim.shard(), state.nowMs());
    return withTracker(
        state,
        own
            ? next.withOwnEpoch(claim.shard(), stored.offset())
            : next.withoutOwnEpoch(claim.shard()));
  }

  private static NodeState recordReceived(NodeState state, StoredRecord stored, int shard) {
    boolean accepted = state.agreed().leases().get(shard).lastRecordOffset() == stored.offset();
    return accepted
        ? withTracker(state, tracker(state).withReceivedAt(shard, state.nowMs()))
        : state;
  }

  private static LeaseTracker tracker(NodeState state) {
    return state.coordination().leases();
  }

  private static NodeState withTracker(NodeState state, LeaseTracker value) {
    return state.withCoordination(state.coordination().withLeases(value));
  }
}
