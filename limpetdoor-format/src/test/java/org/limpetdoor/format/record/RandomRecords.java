package org.limpetdoor.format.record;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.limpetdoor.core.agreed.AbandonProof;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
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
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.request.Outcome;

/** Generates random log records, and states that are the fold of such records. */
final class RandomRecords {
  private static final int NAME_COUNT = 6;
  private static final int RECORD_COUNT = 300;

  private final Random random;

  RandomRecords(long seed) {
    this.random = new Random(seed);
  }

  /** Returns one record of each kind. */
  List<LogRecord> ofEachKind() {
    List<LogRecord> singles = singleRecords().stream().map(Supplier::get).toList();
    return IntStream.range(0, singles.size() + 2)
        .mapToObj(
            i ->
                i < singles.size()
                    ? singles.get(i)
                    : i == singles.size() ? new Batch(singles) : new SnapshotTaken(state()))
        .toList();
  }

  /** Returns the fold of random records of all kinds. */
  AgreedState state() {
    AgreedState state = fold(AgreedState.INITIAL, publication());
    for (int i = 0; i < RECORD_COUNT; i++) {
      state = fold(state, recordFor(state));
    }
    return state;
  }

  static boolean hasReleasedLease(AgreedState state) {
    return state.leases().byShard().values().stream().anyMatch(l -> l.holder().isEmpty());
  }

  static boolean hasUnpricedModel(AgreedState state) {
    return state.ledger().accounts().values().stream().anyMatch(a -> !a.unsized().isEmpty());
  }

  private AgreedState fold(AgreedState state, LogRecord content) {
    long offset = state.nextOffset();
    AppendId id = new AppendId(name("appender"), offset + 1);
    return state.fold(new StoredRecord(offset, new Envelope(id, content))).state();
  }

  /** Returns a record that in most cases fits the state, so that the fold accepts it. */
  private LogRecord recordFor(AgreedState state) {
    BackendId engine = engine();
    int shard = Shards.of(engine);
    long epoch = state.leases().get(shard).epoch();
    return switch (random.nextInt(8)) {
      case 0 -> new LeaseClaimed(shard, instance(), epoch, 15_000);
      case 1 -> new LeaseReleased(shard, epoch);
      case 2, 3 -> new PlacementIntended(name("p"), shard, epoch, engine, model(), 7, action());
      case 4 ->
          new InventoryBooked(
              shard, epoch, engine, List.of(new BookedModel(model(), 5)), state.nextOffset());
      case 5 -> new LimitEpochStarted(state.limitEpoch().epoch(), List.of(instance()));
      default -> pick(singleRecords()).get();
    };
  }

  private List<Supplier<LogRecord>> singleRecords() {
    return List.of(
        this::publication,
        () -> new LeaseClaimed(shard(), instance(), number(), number()),
        () -> new LeaseRenewed(shard(), number()),
        () -> new LeaseReleased(shard(), number()),
        () ->
            new PlacementIntended(
                name("p"), shard(), number(), engine(), model(), size(), action()),
        () -> new PlacementConfirmed(name("p")),
        () -> new PlacementAbandoned(name("p"), pick(List.of(AbandonProof.values()))),
        () -> new InventoryBooked(shard(), number(), engine(), bookedModels(), number()),
        () -> new ClaimRequested(customer(), name("key \u00e4"), request(), instance()),
        () -> new ClaimResolved(customer(), name("key \u00e4"), request(), outcome()),
        () -> new LimitEpochStarted(number(), List.of(instance(), instance())));
  }

  private LogRecord publication() {
    Configuration content =
        Configuration.EMPTY
            .withModels(List.of(new Model(new ModelId("model1"), "1", 10, 2, 5)))
            .withEngines(IntStream.range(0, NAME_COUNT - 1).mapToObj(this::engine).toList());
    return new ConfigurationPublished(
        AgreedState.NO_VERSION, "operator", ConfigurationPatch.of(content));
  }

  /**
   * Returns an engine. Models other than the first are not configured, so their size is unknown.
   */
  private Engine engine(int number) {
    return new Engine(
        new BackendId("engine" + number),
        new ZoneId("z"),
        "127.0.0.1:1",
        8,
        100,
        FencingSupport.CHECKED,
        List.of(new ModelId("model" + number)));
  }

  private List<BookedModel> bookedModels() {
    return List.of(new BookedModel(model(), size()), new BookedModel(model(), 0));
  }

  private CustomerId customer() {
    return new CustomerId(name("customer"));
  }

  private RequestId request() {
    return new RequestId(name("request"));
  }

  private InstanceId instance() {
    return new InstanceId(name("instance"));
  }

  private BackendId engine() {
    return new BackendId(name("engine"));
  }

  private ModelId model() {
    return new ModelId(name("model"));
  }

  private PlacementAction action() {
    return pick(List.of(PlacementAction.values()));
  }

  private Outcome outcome() {
    return pick(List.of(Outcome.values()));
  }

  private String name(String prefix) {
    return prefix + random.nextInt(NAME_COUNT);
  }

  private int shard() {
    return random.nextInt(64);
  }

  private int size() {
    return random.nextBoolean() ? Integer.MAX_VALUE : random.nextInt(1_000);
  }

  private long number() {
    return pick(List.of(-1L, 0L, 200L, 70_000L, Long.MAX_VALUE, random.nextLong()));
  }

  private <T> T pick(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }
}
