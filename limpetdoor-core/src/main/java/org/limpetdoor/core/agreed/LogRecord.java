package org.limpetdoor.core.agreed;

import java.util.List;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Outcome;

/**
 * A record of the platform log. The fold of all records gives each instance the same agreed state.
 */
public sealed interface LogRecord {
  /**
   * An operator published a change of the configuration.
   *
   * @param baseVersion version that the operator edited; the record is rejected if another is in
   *     force
   * @param publisher name of the operator
   * @param patch the change
   */
  record ConfigurationPublished(long baseVersion, String publisher, ConfigurationPatch patch)
      implements LogRecord {}

  /**
   * An instance claims the lease of a shard. If accepted, the offset is the new epoch.
   *
   * @param shard the shard, from 0
   * @param holder the claimant
   * @param expectedEpoch last epoch that the claimant has read; the record is rejected if another
   *     is current
   * @param ttlMs time without a renewal after which others may claim the lease, in milliseconds
   */
  record LeaseClaimed(int shard, InstanceId holder, long expectedEpoch, long ttlMs)
      implements LogRecord {}

  /**
   * The holder renews a lease.
   *
   * @param shard the shard
   * @param epoch epoch of the lease
   */
  record LeaseRenewed(int shard, long epoch) implements LogRecord {}

  /**
   * The holder releases a lease.
   *
   * @param shard the shard
   * @param epoch epoch of the lease
   */
  record LeaseReleased(int shard, long epoch) implements LogRecord {}

  /**
   * A lease holder intends to send an order to an engine. An accepted load reserves its memory from
   * this record on.
   *
   * @param intentId unique identifier of the intent
   * @param shard shard of the engine
   * @param epoch epoch of the lease under which the decision was made
   * @param engine the engine
   * @param model the model
   * @param memoryMib memory that a load needs, in MiB; ignored for an unload
   * @param action ordered action
   */
  record PlacementIntended(
      String intentId,
      int shard,
      long epoch,
      BackendId engine,
      ModelId model,
      int memoryMib,
      PlacementAction action)
      implements LogRecord {}

  /**
   * The engine carried out an intended order.
   *
   * @param intentId the intent
   */
  record PlacementConfirmed(String intentId) implements LogRecord {}

  /**
   * An intended order has had no effect and cannot have one any more.
   *
   * @param intentId the intent
   * @param proof evidence that this is certain
   */
  record PlacementAbandoned(String intentId, AbandonProof proof) implements LogRecord {}

  /**
   * The inventory of an engine differs from the ledger.
   *
   * @param shard shard of the engine
   * @param epoch epoch of the lease of the reporter
   * @param engine the engine
   * @param models the models that differ
   * @param asOfOffset next offset of the reporter when it requested the inventory; the record is
   *     rejected if the account changed since
   */
  record InventoryBooked(
      int shard, long epoch, BackendId engine, List<BookedModel> models, long asOfOffset)
      implements LogRecord {
    /** Copies the models. */
    public InventoryBooked {
      models = List.copyOf(models);
    }
  }

  /**
   * Memory of a model according to an inventory.
   *
   * @param model the model
   * @param memoryMib memory that the model takes, in MiB; 0 if the engine does not hold it
   */
  record BookedModel(ModelId model, int memoryMib) {}

  /**
   * An instance claims the right to dispatch a call with an idempotency key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param request the request
   * @param instance the instance that accepted the request
   */
  record ClaimRequested(CustomerId customer, String key, RequestId request, InstanceId instance)
      implements LogRecord {}

  /**
   * An instance records the outcome of a claimed call. A call that did not run frees the key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param request the request that holds the claim
   * @param outcome outcome of the call
   */
  record ClaimResolved(CustomerId customer, String key, RequestId request, Outcome outcome)
      implements LogRecord {}

  /**
   * A new division of the contract limits starts. If accepted, the offset is the limit epoch.
   *
   * @param expectedEpoch last limit epoch that the appender has read
   * @param members instances that start the epoch with equal shares
   */
  record LimitEpochStarted(long expectedEpoch, List<InstanceId> members) implements LogRecord {
    /** Copies the members. */
    public LimitEpochStarted {
      members = List.copyOf(members);
    }
  }

  /**
   * The fold of all records before an offset, so that older records may leave the retained part of
   * the log.
   *
   * @param state the fold; its next offset shows which records it contains
   */
  record SnapshotTaken(AgreedState state) implements LogRecord {}

  /**
   * Several records of one appender in one append. They share one offset and are folded in order.
   *
   * @param records the records, none of them a batch
   */
  record Batch(List<LogRecord> records) implements LogRecord {
    /** Copies the records and rejects nested batches. */
    public Batch {
      records = List.copyOf(records);
      if (records.stream().anyMatch(Batch.class::isInstance)) {
        throw new IllegalArgumentException("a batch must not contain another batch");
      }
    }
  }

  /**
   * A record of a kind that this version does not support. It stays in the log, and the fold skips
   * it.
   *
   * @param kind name of the kind
   */
  record Unknown(String kind) implements LogRecord {}

  /**
   * A record that only later versions may fold. Skipping it would let the states of instances of
   * two versions diverge.
   *
   * @param minReaderVersion lowest reader version that may fold the record
   * @param readerVersion reader version of this instance, which is lower
   */
  record LaterReaderNeeded(long minReaderVersion, long readerVersion) implements LogRecord {}
}
