package org.limpetdoor.core.agreed;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.LogRecord.Batch;
import org.limpetdoor.core.agreed.LogRecord.ClaimRequested;
import org.limpetdoor.core.agreed.LogRecord.ClaimResolved;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.LogRecord.InventoryBooked;
import org.limpetdoor.core.agreed.LogRecord.LaterReaderNeeded;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.LeaseReleased;
import org.limpetdoor.core.agreed.LogRecord.LeaseRenewed;
import org.limpetdoor.core.agreed.LogRecord.LimitEpochStarted;
import org.limpetdoor.core.agreed.LogRecord.PlacementAbandoned;
import org.limpetdoor.core.agreed.LogRecord.PlacementConfirmed;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.LogRecord.SnapshotTaken;
import org.limpetdoor.core.agreed.LogRecord.Unknown;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.decision.AgreementDecision;
import org.limpetdoor.core.decision.ConfigurationDecision;
import org.limpetdoor.core.decision.Decision;

/** Rule for folding each kind of record. */
enum FoldRule {
  CONFIGURATION_PUBLISHED(ConfigurationPublished.class, FoldRule::publish),
  LEASE_CLAIMED(
      LeaseClaimed.class,
      (state, offset, r) ->
          of(state.leases().claim(offset, r), state::withLeases)
              .withDecision(offset, "lease_claimed", r.shard() + ":" + r.holder())),
  LEASE_RENEWED(
      LeaseRenewed.class,
      (state, offset, r) ->
          of(state.leases().renew(offset, r), state::withLeases)
              .withDecisionIfRejected(offset, "lease_renewed", String.valueOf(r.shard()))),
  LEASE_RELEASED(
      LeaseReleased.class,
      (state, offset, r) ->
          of(state.leases().release(offset, r), state::withLeases)
              .withDecision(offset, "lease_released", String.valueOf(r.shard()))),
  PLACEMENT_INTENDED(
      PlacementIntended.class,
      (state, offset, r) ->
          of(LedgerRules.intend(state, offset, r), state::withLedger)
              .withDecision(offset, "placement_intended", r.intentId())),
  PLACEMENT_CONFIRMED(
      PlacementConfirmed.class,
      (state, offset, r) ->
          of(LedgerRules.confirm(state.ledger(), offset, r), state::withLedger)
              .withDecision(offset, "placement_confirmed", r.intentId())),
  PLACEMENT_ABANDONED(
      PlacementAbandoned.class,
      (state, offset, r) ->
          of(LedgerRules.abandon(state.ledger(), offset, r), state::withLedger)
              .withDecision(offset, "placement_abandoned", r.intentId())),
  INVENTORY_BOOKED(
      InventoryBooked.class,
      (state, offset, r) ->
          of(LedgerRules.book(state, offset, r), state::withLedger)
              .withDecision(offset, "inventory_booked", r.engine().value())),
  CLAIM_REQUESTED(
      ClaimRequested.class,
      (state, offset, r) ->
          of(state.claims().request(r), state::withClaims)
              .withDecision(offset, "claim_requested", r.request().value())),
  CLAIM_RESOLVED(
      ClaimResolved.class,
      (state, offset, r) ->
          of(state.claims().resolve(r), state::withClaims)
              .withDecision(offset, "claim_resolved", r.request().value())),
  LIMIT_EPOCH_STARTED(
      LimitEpochStarted.class,
      (state, offset, r) ->
          of(state.limitEpoch().start(offset, r), state::withLimitEpoch)
              .withDecision(offset, "limit_epoch_started", String.valueOf(r.expectedEpoch()))),
  /** A snapshot changes nothing for a reader that has folded all records before it. */
  SNAPSHOT_TAKEN(SnapshotTaken.class, (state, offset, r) -> Transition.of(state)),
  BATCH(Batch.class, FoldRule::foldAll),
  /** The fold stops before such a record; inside a batch it is skipped with the rest. */
  LATER_READER_NEEDED(LaterReaderNeeded.class, (state, offset, r) -> Transition.of(state)),
  UNKNOWN(Unknown.class, (state, offset, r) -> Transition.of(state));

  private static final Map<Class<? extends LogRecord>, FoldRule> BY_TYPE =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(rule -> rule.type, Function.identity()));

  private final Class<? extends LogRecord> type;
  private final Step<LogRecord> step;

  <R extends LogRecord> FoldRule(Class<R> type, Step<R> step) {
    this.type = type;
    this.step = (state, offset, content) -> step.fold(state, offset, type.cast(content));
  }

  static Transition<AgreedState, Decision> fold(AgreedState state, long offset, LogRecord content) {
    return BY_TYPE.get(content.getClass()).step.fold(state, offset, content);
  }

  private static Transition<AgreedState, Decision> publish(
      AgreedState state, long offset, ConfigurationPublished record) {
    boolean accepted = record.baseVersion() == state.configurationVersion();
    ConfigurationDecision decision =
        new ConfigurationDecision(
            offset,
            record.baseVersion(),
            state.configurationVersion(),
            accepted,
            record.publisher());
    if (!accepted) {
      return Transition.of(state, decision);
    }
    Configuration content = record.patch().applyTo(state.configuration());
    MemoryLedger ledger =
        LedgerRules.applyPublication(state.ledger(), offset, record.patch(), content);
    return Transition.of(
        state.withHead(new ConfigurationHead(offset, content)).withLedger(ledger), decision);
  }

  private static Transition<AgreedState, Decision> foldAll(
      AgreedState state, long offset, Batch batch) {
    Transition<AgreedState, Decision> result = Transition.of(state);
    for (LogRecord content : batch.records()) {
      result = result.then(current -> fold(current, offset, content));
    }
    return result;
  }

  private static <T> Outcome of(FoldedPart<T> folded, Function<T, AgreedState> withPart) {
    return new Outcome(withPart.apply(folded.part()), folded.result());
  }

  private interface Step<R extends LogRecord> {
    Transition<AgreedState, Decision> fold(AgreedState state, long offset, R content);
  }

  private record Outcome(AgreedState state, FoldResult result) {
    Transition<AgreedState, Decision> withDecision(long offset, String name, String subject) {
      return Transition.of(state, new AgreementDecision(offset, name, subject, result));
    }

    /** Omits the decision on accepted renewals, because they are most of all records. */
    Transition<AgreedState, Decision> withDecisionIfRejected(
        long offset, String name, String subject) {
      return result.accepted() ? Transition.of(state) : withDecision(offset, name, subject);
    }
  }
}
