package org.limpetdoor.core.agreed;

import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.LogRecord.LaterReaderNeeded;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.decision.LogStopDecision;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.TreePSet;

/**
 * State that all instances agree on. It is the same on each instance that has folded the log up to
 * the same offset.
 *
 * @param nextOffset offset of the next record to fold
 * @param head the configuration in force
 * @param sequences last append of each appender, to detect repeated appends
 * @param leases leases of the shards
 * @param ledger reservations of accelerator memory
 * @param claims claims of calls with an idempotency key
 * @param limitEpoch division of the contract limits
 * @param stopped whether folding has stopped because the next record requires a later reader
 *     version
 */
public record AgreedState(
    long nextOffset,
    ConfigurationHead head,
    Sequences sequences,
    Leases leases,
    MemoryLedger ledger,
    Claims claims,
    LimitEpoch limitEpoch,
    boolean stopped) {
  /** Version before the first publication, which names it as its base version. */
  public static final long NO_VERSION = -1;

  /** The state before the first record. */
  public static final AgreedState INITIAL =
      new AgreedState(
          0,
          new ConfigurationHead(NO_VERSION, Configuration.EMPTY),
          Sequences.EMPTY,
          Leases.NONE,
          MemoryLedger.EMPTY,
          Claims.NONE,
          LimitEpoch.NONE,
          false);

  /** Returns the configuration in force. */
  public Configuration configuration() {
    return head.content();
  }

  /** Returns the offset of the publication in force, or {@link #NO_VERSION}. */
  public long configurationVersion() {
    return head.version();
  }

  /**
   * Returns the engines that requests for a model may be sent to, ordered by name. The fold
   * maintains the set, so a call costs one look-up.
   */
  public TreePSet<BackendId> replicas(ModelId model) {
    return ledger.servingOf(model);
  }

  /**
   * Folds one record. Records before {@link #nextOffset()} and repeated appends change nothing, nor
   * does any record once the fold has stopped.
   */
  public Transition<AgreedState, Decision> fold(StoredRecord stored) {
    if (stopped || stored.offset() < nextOffset) {
      return Transition.of(this);
    }
    if (stored.envelope().content() instanceof LaterReaderNeeded needed) {
      return stop(needed);
    }
    AgreedState advanced = withNextOffset(stored.offset() + 1);
    if (sequences.contains(stored.envelope().id())) {
      return Transition.of(advanced);
    }
    AgreedState updated =
        advanced.withSequences(sequences.plus(stored.envelope().id(), stored.offset()));
    return FoldRule.fold(updated, stored.offset(), stored.envelope().content());
  }

  private Transition<AgreedState, Decision> stop(LaterReaderNeeded needed) {
    LogStopDecision decision =
        new LogStopDecision(nextOffset, needed.minReaderVersion(), needed.readerVersion());
    return Transition.of(
        new AgreedState(nextOffset, head, sequences, leases, ledger, claims, limitEpoch, true),
        decision);
  }

  AgreedState withHead(ConfigurationHead value) {
    return new AgreedState(
        nextOffset, value, sequences, leases, ledger, claims, limitEpoch, stopped);
  }

  AgreedState withLeases(Leases value) {
    return new AgreedState(nextOffset, head, sequences, value, ledger, claims, limitEpoch, stopped);
  }

  AgreedState withLedger(MemoryLedger value) {
    return new AgreedState(nextOffset, head, sequences, leases, value, claims, limitEpoch, stopped);
  }

  AgreedState withClaims(Claims value) {
    return new AgreedState(nextOffset, head, sequences, leases, ledger, value, limitEpoch, stopped);
  }

  AgreedState withLimitEpoch(LimitEpoch value) {
    return new AgreedState(nextOffset, head, sequences, leases, ledger, claims, value, stopped);
  }

  private AgreedState withNextOffset(long value) {
    return new AgreedState(value, head, sequences, leases, ledger, claims, limitEpoch, stopped);
  }

  private AgreedState withSequences(Sequences value) {
    return new AgreedState(nextOffset, head, value, leases, ledger, claims, limitEpoch, stopped);
  }
}
