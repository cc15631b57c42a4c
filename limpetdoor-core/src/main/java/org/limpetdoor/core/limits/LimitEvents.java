package org.limpetdoor.core.limits;

import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.LimitEpoch;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.agreed.LogRecord.LimitEpochStarted;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.placement.LeaseEvents;
import org.limpetdoor.core.request.LimitShare;
import org.pcollections.HashTreePMap;

/** Applies limit epochs that were read from the log, and starts new ones. */
public final class LimitEvents {
  /** Shard whose lease holder starts the epochs. */
  static final int EPOCH_SHARD = 0;

  /** Shortest time between two epochs, in milliseconds. Each epoch lowers shares for a while. */
  static final long EPOCH_INTERVAL_MS = 10_000;

  /**
   * Time for which the live instances must differ from the members of the epoch before a new one
   * starts, in milliseconds.
   */
  static final long SETTLE_MS = 2_000;

  private LimitEvents() {}

  /**
   * Sets the limit mode at the start of the instance. From then on, its limits are derived from the
   * limit epochs.
   */
  public static NodeState started(NodeState state, LimitMode mode) {
    return refresh(state.withLimits(state.limits().withMode(mode)));
  }

  /**
   * Updates the share in use. It is called before each event, because shares expire. A reducer that
   * takes no part in the agreement keeps the share that it was given.
   */
  public static NodeState refresh(NodeState state) {
    if (state.limits().mode() == LimitMode.WHOLE) {
      return state;
    }
    double usable = state.limits().usableShareAt(state.nowMs());
    if (state.requests().limitShare().otherwise() == usable) {
      return state;
    }
    LimitShare share = new LimitShare(HashTreePMap.empty(), usable);
    return state.withRequests(state.requests().withLimitShare(share));
  }

  /** Applies the limit epoch of the agreed state after a record was folded. */
  public static NodeState folded(NodeState state) {
    LimitEpoch epoch = state.agreed().limitEpoch();
    if (epoch.epoch() == state.limits().epoch()) {
      return state;
    }
    return refresh(
        state.withLimits(state.limits().withNextEpoch(epoch, state.self().id(), state.nowMs())));
  }

  /** Applies the limit epoch of a snapshot, which does not contain the preceding epochs. */
  public static NodeState adopted(NodeState state) {
    LimitEpoch epoch = state.agreed().limitEpoch();
    if (epoch.epoch() == state.limits().epoch()) {
      return state;
    }
    return refresh(
        state.withLimits(
            state.limits().withSnapshotEpoch(epoch, state.self().id(), state.nowMs())));
  }

  /** Records the time up to which the log was read, unless records are missing in between. */
  public static NodeState logRead(NodeState state, long completeAtMs) {
    if (state.coordination().reader().hasGap()) {
      return state;
    }
    return refresh(state.withLimits(state.limits().withCompleteAt(completeAtMs)));
  }

  /**
   * Starts an epoch when the live instances have differed from the members for {@link #SETTLE_MS}.
   */
  public static Transition<NodeState, Effect> tick(NodeState state) {
    if (!LeaseEvents.followsLog(state) || !LeaseEvents.holds(state, EPOCH_SHARD)) {
      return Transition.of(withMembersDifferSince(state, LogReader.NEVER));
    }
    LimitEpoch epoch = state.agreed().limitEpoch();
    List<InstanceId> live = live(state);
    if (live.equals(epoch.members())) {
      return Transition.of(withMembersDifferSince(state, LogReader.NEVER));
    }
    boolean recorded = state.limits().membersDifferSinceMs() != LogReader.NEVER;
    NodeState next = recorded ? state : withMembersDifferSince(state, state.nowMs());
    LimitEpochStarted record = new LimitEpochStarted(epoch.epoch(), live);
    boolean submitted = next.coordination().outbox().contains(record);
    return submitted || !isDue(next, epoch)
        ? Transition.of(next)
        : OutboxEvents.submit(next, record);
  }

  private static boolean isDue(NodeState state, LimitEpoch epoch) {
    if (epoch.epoch() == LimitEpoch.NONE.epoch()) {
      return true;
    }
    ShareTable table = state.limits();
    return state.nowMs() - table.membersDifferSinceMs() >= SETTLE_MS
        && state.nowMs() - table.epochReadAtMs() >= EPOCH_INTERVAL_MS;
  }

  private static List<InstanceId> live(NodeState state) {
    return state.membership().ranked(state.self().id(), "limits").stream()
        .sorted(Comparator.comparing(InstanceId::value))
        .toList();
  }

  private static NodeState withMembersDifferSince(NodeState state, long value) {
    boolean unchanged = state.limits().membersDifferSinceMs() == value;
    return unchanged ? state : state.withLimits(state.limits().withMembersDifferSince(value));
  }
}
