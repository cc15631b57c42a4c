package org.limpetdoor.core.agreed;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.limpetdoor.core.agreed.LogRecord.BookedModel;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Outcome;

/** Generates random records, of which enough are valid to reach every part of the fold. */
final class RandomRecords {
  private static final int ENGINES = 6;
  private static final int MODELS = 4;

  private final Random random;
  private AgreedState state = AgreedState.INITIAL;
  private long sequence;

  RandomRecords(long seed) {
    random = new Random(seed);
  }

  /** Returns a log; some appends are stored twice. */
  List<StoredRecord> log(int length) {
    List<StoredRecord> log = new ArrayList<>();
    while (log.size() < length) {
      boolean repeat = !log.isEmpty() && random.nextInt(10) == 0;
      Envelope envelope = repeat ? log.get(random.nextInt(log.size())).envelope() : newAppend(log);
      StoredRecord stored = new StoredRecord(log.size(), envelope);
      log.add(stored);
      state = state.fold(stored).state();
    }
    return log;
  }

  private Envelope newAppend(List<StoredRecord> log) {
    LogRecord content =
        random.nextInt(6) == 0
            ? new LogRecord.Batch(List.of(randomRecord(), randomRecord()))
            : randomRecord();
    LogRecord first = log.isEmpty() ? Fleet.publication(ENGINES, MODELS, 1) : content;
    return new Envelope(new AppendId("appender-" + random.nextInt(3), ++sequence), first);
  }

  private LogRecord randomRecord() {
    BackendId engine = Fleet.engineId(random.nextInt(ENGINES));
    int shard = Shards.of(engine);
    long epoch = state.leases().get(shard).epoch() - (random.nextInt(8) == 0 ? 1 : 0);
    switch (random.nextInt(12)) {
      case 0:
        return new LogRecord.ConfigurationPublished(
            state.configurationVersion() - random.nextInt(2), "operator", randomPatch());
      case 1:
        return new LogRecord.LeaseClaimed(shard, randomInstance(), epoch, 15_000);
      case 2:
        return new LogRecord.LeaseRenewed(shard, epoch);
      case 3:
        return new LogRecord.LeaseReleased(shard, epoch);
      case 4:
      case 5:
        return new LogRecord.PlacementIntended(
            "intent-" + random.nextInt(1000),
            shard,
            epoch,
            engine,
            Fleet.modelId(random.nextInt(MODELS)),
            Fleet.MODEL_MIB,
            PlacementAction.values()[random.nextInt(2)]);
      case 6:
        return new LogRecord.PlacementConfirmed(randomIntent());
      case 7:
        return new LogRecord.PlacementAbandoned(randomIntent(), AbandonProof.NEVER_SENT);
      case 8:
        BookedModel booked =
            new BookedModel(Fleet.modelId(random.nextInt(MODELS)), random.nextInt(2) * 30);
        return new LogRecord.InventoryBooked(
            shard, epoch, engine, List.of(booked), state.nextOffset() - random.nextInt(4));
      case 9:
        return new LogRecord.ClaimRequested(
            randomCustomer(), randomKey(), randomRequest(), randomInstance());
      case 10:
        return new LogRecord.ClaimResolved(
            randomCustomer(), randomKey(), randomRequest(), Outcome.values()[random.nextInt(3)]);
      default:
        return random.nextBoolean()
            ? new LogRecord.Unknown("later_version")
            : new LogRecord.LimitEpochStarted(
                state.limitEpoch().epoch(), List.of(randomInstance()));
    }
  }

  private ConfigurationPatch randomPatch() {
    int number = random.nextInt(ENGINES);
    ConfigurationPatch.Removals removals =
        random.nextInt(3) == 0
            ? new ConfigurationPatch.Removals(
                List.of(), List.of(), List.of(), List.of(Fleet.engineId(number)), List.of())
            : ConfigurationPatch.Removals.NONE;
    return new ConfigurationPatch(
        List.of(),
        List.of(Fleet.model(random.nextInt(MODELS + 2), 1)),
        List.of(),
        List.of(Fleet.engine(random.nextInt(ENGINES), List.of(Fleet.modelId(MODELS + 1)))),
        List.of(),
        java.util.Optional.empty(),
        removals);
  }

  private String randomIntent() {
    List<String> unsettled = state.ledger().intents().keySet().stream().sorted().toList();
    return unsettled.isEmpty() ? "none" : unsettled.get(random.nextInt(unsettled.size()));
  }

  private InstanceId randomInstance() {
    return new InstanceId("instance-" + random.nextInt(3));
  }

  private CustomerId randomCustomer() {
    return new CustomerId("customer-" + random.nextInt(2));
  }

  private String randomKey() {
    return "key-" + random.nextInt(4);
  }

  private RequestId randomRequest() {
    return new RequestId("request-" + random.nextInt(4));
  }
}
