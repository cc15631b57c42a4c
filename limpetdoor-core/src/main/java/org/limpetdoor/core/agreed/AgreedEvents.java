package org.limpetdoor.core.agreed;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.LogRecord.SnapshotTaken;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.limits.LimitEvents;
import org.limpetdoor.core.placement.LeaseEvents;
import org.limpetdoor.core.placement.OrderEvents;
import org.limpetdoor.core.request.RequestEvents;
import org.pcollections.TreePVector;

/** Reduces events of the platform log. */
public final class AgreedEvents {
  /**
   * Interval between snapshots, in milliseconds. It must be well below the retention of the log; an
   * hour is the shortest retention assumed.
   */
  static final long SNAPSHOT_INTERVAL_MS = 600_000;

  /**
   * Number of records after which a snapshot is taken early, to bound what a new instance has to
   * fold.
   */
  static final long SNAPSHOT_RECORDS = 20_000;

  /** Shard whose lease holder takes the snapshots. */
  static final int SNAPSHOT_SHARD = 0;

  private AgreedEvents() {}

  /** Folds the records of a read of the log. */
  public static Transition<NodeState, Effect> recordsRead(NodeState state, RecordsRead event) {
    NodeState updated = LeaseEvents.logRead(state);
    Transition<NodeState, Effect> result =
        Transition.of(withReader(updated, reader(updated).withReadAt(updated.nowMs())));
    for (StoredRecord stored : event.records()) {
      result = result.then(current -> readRecord(current, stored));
    }
    return result
        .then(current -> Transition.of(LimitEvents.logRead(current, event.completeAtMs())))
        .then(current -> Transition.of(RequestEvents.agreedStateChanged(current)));
  }

  /**
   * Submits a snapshot if one is due and this process holds the lease of {@link #SNAPSHOT_SHARD}.
   */
  public static Transition<NodeState, Effect> snapshotIfDue(NodeState state) {
    LogReader reader = reader(state);
    AgreedState agreed = state.agreed();
    boolean hasNewRecords = agreed.nextOffset() > reader.lastSnapshotOffset() + 1;
    boolean intervalElapsed = state.nowMs() - reader.lastSnapshotMs() >= SNAPSHOT_INTERVAL_MS;
    boolean manyRecords = agreed.nextOffset() - reader.lastSnapshotOffset() > SNAPSHOT_RECORDS;
    boolean snapshotPending = state.coordination().outbox().hasSnapshot();
    if (!hasNewRecords
        || !(intervalElapsed || manyRecords)
        || snapshotPending
        || !LeaseEvents.holds(state, SNAPSHOT_SHARD)) {
      return Transition.of(state);
    }
    return OutboxEvents.submit(state, new SnapshotTaken(agreed));
  }

  /**
   * Replaces the agreed state by a snapshot that is ahead of it, and folds the buffered records
   * that follow the snapshot.
   */
  public static Transition<NodeState, Effect> adopt(NodeState state, AgreedState snapshot) {
    if (snapshot.nextOffset() <= state.agreed().nextOffset()) {
      return Transition.of(state);
    }
    NodeState adopted =
        LimitEvents.adopted(OrderEvents.started(LeaseEvents.adopted(state.withAgreed(snapshot))));
    return confirmIfContained(adopted).then(AgreedEvents::foldBuffered);
  }

  private static Transition<NodeState, Effect> readRecord(NodeState state, StoredRecord stored) {
    if (stored.offset() > state.agreed().nextOffset()) {
      NodeState buffering = withReader(state, reader(state).buffer(stored));
      Optional<AgreedState> snapshot = reader(buffering).snapshotClosingGap(stored);
      return snapshot.isPresent() ? adopt(buffering, snapshot.get()) : Transition.of(buffering);
    }
    return foldRecord(state, stored).then(AgreedEvents::foldBuffered);
  }

  private static Transition<NodeState, Effect> foldBuffered(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    while (reader(result.state()).hasGap()) {
      StoredRecord first = reader(result.state()).buffered().get(0);
      if (first.offset() > result.state().agreed().nextOffset()) {
        return result;
      }
      result = result.then(current -> foldRecord(withoutFirstBuffered(current), first));
    }
    return result;
  }

  private static Transition<NodeState, Effect> foldRecord(NodeState state, StoredRecord stored) {
    if (stored.offset() < state.agreed().nextOffset()) {
      return Transition.of(state);
    }
    boolean repeated = state.agreed().sequences().contains(stored.envelope().id());
    Transition<AgreedState, Decision> folded = state.agreed().fold(stored);
    NodeState next = LimitEvents.folded(state.withAgreed(folded.state()));
    Transition<NodeState, Effect> result =
        new Transition<>(next, folded.effects().stream().<Effect>map(RecordDecision::new).toList());
    return repeated ? result : result.then(current -> applyEffects(current, stored));
  }

  private static Transition<NodeState, Effect> applyEffects(NodeState state, StoredRecord stored) {
    Transition<NodeState, Effect> result = OutboxEvents.confirm(state, stored.envelope().id());
    for (LogRecord content : Outbox.records(stored.envelope().content())) {
      result = result.then(current -> applyEffects(current, stored, content));
    }
    return result;
  }

  private static Transition<NodeState, Effect> applyEffects(
      NodeState state, StoredRecord stored, LogRecord content) {
    NodeState next = state;
    if (content instanceof SnapshotTaken) {
      next = withReader(next, reader(next).withSnapshot(next.nowMs(), stored.offset()));
    }
    return LeaseEvents.folded(next, stored, content)
        .then(current -> OrderEvents.folded(current, stored, content));
  }

  private static Transition<NodeState, Effect> confirmIfContained(NodeState state) {
    return state
        .coordination()
        .outbox()
        .inFlight()
        .map(sent -> sent.envelope().id())
        .filter(state.agreed().sequences()::contains)
        .map(id -> OutboxEvents.confirm(state, id))
        .orElse(Transition.of(state));
  }

  private static NodeState withoutFirstBuffered(NodeState state) {
    LogReader reader = reader(state);
    boolean last = reader.buffered().size() == 1;
    return withReader(
        state, reader.withBuffered(last ? TreePVector.empty() : reader.buffered().minus(0)));
  }

  private static LogReader reader(NodeState state) {
    return state.coordination().reader();
  }

  private static NodeState withReader(NodeState state, LogReader value) {
    return state.withCoordination(state.coordination().withReader(value));
  }
}
