package org.limpetdoor.format.record;

import static org.limpetdoor.format.record.RecordFields.lowerCaseName;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.limpetdoor.core.agreed.AbandonProof;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.Batch;
import org.limpetdoor.core.agreed.LogRecord.BookedModel;
import org.limpetdoor.core.agreed.LogRecord.ClaimRequested;
import org.limpetdoor.core.agreed.LogRecord.ClaimResolved;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.LogRecord.InventoryBooked;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.LeaseReleased;
import org.limpetdoor.core.agreed.LogRecord.LeaseRenewed;
import org.limpetdoor.core.agreed.LogRecord.LimitEpochStarted;
import org.limpetdoor.core.agreed.LogRecord.PlacementAbandoned;
import org.limpetdoor.core.agreed.LogRecord.PlacementConfirmed;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.LogRecord.SnapshotTaken;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.format.configuration.ConfigurationWriter;
import org.limpetdoor.format.configuration.PatchReader;

/** The kinds of log records. Each kind encodes and decodes its own fields. */
enum RecordKind {
  /** A publication of a configuration patch, which is encoded as JSON text. */
  CONFIGURATION_PUBLISHED(
      "configuration-published",
      ConfigurationPublished.class,
      r ->
          Map.of(
              "baseVersion",
              r.baseVersion(),
              "publisher",
              r.publisher(),
              "patch",
              ConfigurationWriter.write(r.patch())),
      fields ->
          new ConfigurationPublished(
              fields.number("baseVersion"),
              fields.text("publisher"),
              PatchReader.read("patch", fields.text("patch")).orThrow())),
  /** A claim of a lease. */
  LEASE_CLAIMED(
      "lease-claimed",
      LeaseClaimed.class,
      r ->
          Map.of(
              "shard",
              r.shard(),
              "holder",
              r.holder().value(),
              "expectedEpoch",
              r.expectedEpoch(),
              "ttlMs",
              r.ttlMs()),
      fields ->
          new LeaseClaimed(
              fields.integer("shard"),
              new InstanceId(fields.text("holder")),
              fields.number("expectedEpoch"),
              fields.number("ttlMs"))),
  /** A renewal of a lease. */
  LEASE_RENEWED(
      "lease-renewed",
      LeaseRenewed.class,
      r -> Map.of("shard", r.shard(), "epoch", r.epoch()),
      fields -> new LeaseRenewed(fields.integer("shard"), fields.number("epoch"))),
  /** A release of a lease. */
  LEASE_RELEASED(
      "lease-released",
      LeaseReleased.class,
      r -> Map.of("shard", r.shard(), "epoch", r.epoch()),
      fields -> new LeaseReleased(fields.integer("shard"), fields.number("epoch"))),
  /** An order that will be sent to an engine. */
  PLACEMENT_INTENDED(
      "placement-intended",
      PlacementIntended.class,
      r ->
          Map.of(
              "intentId",
              r.intentId(),
              "shard",
              r.shard(),
              "epoch",
              r.epoch(),
              "engine",
              r.engine().value(),
              "model",
              r.model().value(),
              "memoryMib",
              r.memoryMib(),
              "action",
              lowerCaseName(r.action())),
      fields ->
          new PlacementIntended(
              fields.text("intentId"),
              fields.integer("shard"),
              fields.number("epoch"),
              new BackendId(fields.text("engine")),
              new ModelId(fields.text("model")),
              fields.integer("memoryMib"),
              fields.enumConstant("action", PlacementAction.class))),
  /** An order that was carried out. */
  PLACEMENT_CONFIRMED(
      "placement-confirmed",
      PlacementConfirmed.class,
      r -> Map.of("intentId", r.intentId()),
      fields -> new PlacementConfirmed(fields.text("intentId"))),
  /** An order that had and will have no effect. */
  PLACEMENT_ABANDONED(
      "placement-abandoned",
      PlacementAbandoned.class,
      r -> Map.of("intentId", r.intentId(), "proof", lowerCaseName(r.proof())),
      fields ->
          new PlacementAbandoned(
              fields.text("intentId"), fields.enumConstant("proof", AbandonProof.class))),
  /** Models for which the inventory of an engine differs from the ledger. */
  INVENTORY_BOOKED(
      "inventory-booked",
      InventoryBooked.class,
      r ->
          Map.of(
              "shard",
              r.shard(),
              "epoch",
              r.epoch(),
              "engine",
              r.engine().value(),
              "models",
              r.models().stream().map(RecordKind::encodeBookedModel).toList(),
              "asOfOffset",
              r.asOfOffset()),
      fields ->
          new InventoryBooked(
              fields.integer("shard"),
              fields.number("epoch"),
              new BackendId(fields.text("engine")),
              fields.maps("models").stream().map(RecordKind::decodeBookedModel).toList(),
              fields.number("asOfOffset"))),
  /** A claim of a call with an idempotency key. */
  CLAIM_REQUESTED(
      "claim-requested",
      ClaimRequested.class,
      r ->
          Map.of(
              "customer",
              r.customer().value(),
              "key",
              r.key(),
              "request",
              r.request().value(),
              "instance",
              r.instance().value()),
      fields ->
          new ClaimRequested(
              new CustomerId(fields.text("customer")),
              fields.text("key"),
              new RequestId(fields.text("request")),
              new InstanceId(fields.text("instance")))),
  /** The outcome of a call with an idempotency key. */
  CLAIM_RESOLVED(
      "claim-resolved",
      ClaimResolved.class,
      r ->
          Map.of(
              "customer",
              r.customer().value(),
              "key",
              r.key(),
              "request",
              r.request().value(),
              "outcome",
              lowerCaseName(r.outcome())),
      fields ->
          new ClaimResolved(
              new CustomerId(fields.text("customer")),
              fields.text("key"),
              new RequestId(fields.text("request")),
              fields.enumConstant("outcome", Outcome.class))),
  /** A new epoch in which the contract limits are divided among the given instances. */
  LIMIT_EPOCH_STARTED(
      "limit-epoch-started",
      LimitEpochStarted.class,
      r ->
          Map.of(
              "expectedEpoch",
              r.expectedEpoch(),
              "members",
              r.members().stream().map(InstanceId::value).toList()),
      fields ->
          new LimitEpochStarted(
              fields.number("expectedEpoch"), fields.texts("members", InstanceId::new))),
  /** A snapshot: the fold of all earlier records. */
  SNAPSHOT_TAKEN(
      "snapshot-taken",
      SnapshotTaken.class,
      r -> Map.of("state", AgreedStateCodec.encode(r.state())),
      fields -> new SnapshotTaken(AgreedStateCodec.decode(fields.map("state")))),
  /** Several records that are appended as one. */
  BATCH(
      "batch",
      Batch.class,
      r -> Map.of("records", r.records().stream().map(RecordKind::encodeContent).toList()),
      fields ->
          new Batch(fields.maps("records").stream().map(RecordKind::decodeBatchMember).toList()));

  private final String wireName;
  private final Class<? extends LogRecord> type;
  private final Function<LogRecord, Map<String, Object>> encoder;
  private final Function<RecordFields, ? extends LogRecord> decoder;

  <R extends LogRecord> RecordKind(
      String wireName,
      Class<R> type,
      Function<R, Map<String, Object>> encoder,
      Function<RecordFields, R> decoder) {
    this.wireName = wireName;
    this.type = type;
    this.encoder = content -> encoder.apply(type.cast(content));
    this.decoder = decoder;
  }

  /** Returns the lowest reader version that folds records of this kind correctly. */
  long minReaderVersion() {
    return 1;
  }

  /** Returns the fields of a record, including the name of its kind. */
  static Map<String, Object> encodeContent(LogRecord content) {
    RecordKind kind = of(content);
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("kind", kind.wireName);
    fields.putAll(kind.encoder.apply(content));
    return fields;
  }

  /** Decodes a record; one of an unknown kind becomes {@link LogRecord.Unknown}. */
  static LogRecord decodeContent(RecordFields fields) {
    String name = fields.text("kind");
    Optional<RecordKind> kind = byWireName(name);
    return kind.isPresent() ? kind.get().decoder.apply(fields) : new LogRecord.Unknown(name);
  }

  private static LogRecord decodeBatchMember(RecordFields fields) {
    if (fields.text("kind").equals(BATCH.wireName)) {
      throw new MalformedRecordException("a batch contains a batch", null);
    }
    return decodeContent(fields);
  }

  private static Optional<RecordKind> byWireName(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }

  static RecordKind of(LogRecord content) {
    return Arrays.stream(values())
        .filter(kind -> kind.type.isInstance(content))
        .findFirst()
        .orElseThrow(() -> new MalformedRecordException("cannot encode " + content, null));
  }

  private static Map<String, Object> encodeBookedModel(BookedModel booked) {
    return Map.of("model", booked.model().value(), "memoryMib", booked.memoryMib());
  }

  private static BookedModel decodeBookedModel(RecordFields fields) {
    return new BookedModel(new ModelId(fields.text("model")), fields.integer("memoryMib"));
  }
}
