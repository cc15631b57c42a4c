package org.limpetdoor.core.agreed;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.LogRecord.SnapshotTaken;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.request.Outcome;

class FoldTest {
  private static final int SEEDS = 200;
  private static final int RECORDS = 120;

  /** Guards against an instance that joins late and computes a different state from the others. */
  @Test
  void foldOfRetainedPartEqualsFoldOfWholeLog() {
    for (long seed = 0; seed < SEEDS; seed++) {
      List<StoredRecord> log = new ArrayList<>(new RandomRecords(seed).log(RECORDS));
      int snapshotNextOffset = 40 + (int) (seed % 30);
      int snapshotOffset = snapshotNextOffset + (int) (seed % 20);
      AgreedState snapshot = foldAll(log.subList(0, snapshotNextOffset));
      Envelope envelope = new Envelope(new AppendId("snapshotter", 1), new SnapshotTaken(snapshot));
      log.set(snapshotOffset, new StoredRecord(snapshotOffset, envelope));
      int retainedFrom = snapshotNextOffset - (int) (seed % 15);

      NodeState late = read(log.subList(retainedFrom, log.size()));

      assertWithMessage("seed %s", seed).that(late.agreed()).isEqualTo(foldAll(log));
    }
  }

  /** Guards against a state built from a snapshot that ends before the retained part of the log. */
  @Test
  void snapshotBeforeRetainedPartIsNotUsed() {
    List<StoredRecord> log = new ArrayList<>(new RandomRecords(1).log(RECORDS));
    SnapshotTaken early = new SnapshotTaken(foldAll(log.subList(0, 20)));
    log.set(60, new StoredRecord(60, new Envelope(new AppendId("snapshotter", 1), early)));

    NodeState late = read(log.subList(30, log.size()));

    assertThat(late.agreed()).isEqualTo(AgreedState.INITIAL);
    assertThat(late.coordination().reader().hasGap()).isTrue();
  }

  /** Guards against indexes that drift from the accounts that they are derived from. */
  @Test
  void indexesMatchAccounts() {
    for (long seed = 0; seed < SEEDS; seed++) {
      AgreedState state = foldAll(new RandomRecords(seed).log(RECORDS));
      for (BackendId engine : state.ledger().accounts().keySet()) {
        boolean configured = state.configuration().engines().containsKey(engine);
        assertThat(state.ledger().isConfigured(engine)).isEqualTo(configured);
        checkIndex(state, engine, configured);
      }
    }
  }

  /** Guards against reserving memory twice, whatever the order of the records. */
  @Test
  void intentsNeverExceedCapacity() {
    for (long seed = 0; seed < SEEDS; seed++) {
      AgreedState state = AgreedState.INITIAL;
      for (StoredRecord stored : new RandomRecords(seed).log(RECORDS)) {
        AgreedState next = state.fold(stored).state();
        for (BackendId engine : next.ledger().accounts().keySet()) {
          boolean intended =
              next.ledger().account(engine).pending().filter(Intent::load).isPresent()
                  && state.ledger().account(engine).pending().isEmpty();
          long reservedMib = next.ledger().account(engine).reservedMib();
          assertWithMessage("seed %s offset %s", seed, stored.offset())
              .that(intended && reservedMib > Fleet.CAPACITY_MIB)
              .isFalse();
        }
        state = next;
      }
    }
  }

  /** Guards against a publication that is based on an old version and reverts a newer one. */
  @Test
  void configurationVersionGrowsAndRequiresCurrentBase() {
    for (long seed = 0; seed < SEEDS; seed++) {
      AgreedState state = AgreedState.INITIAL;
      for (StoredRecord stored : new RandomRecords(seed).log(RECORDS)) {
        AgreedState next = state.fold(stored).state();
        assertThat(next.configurationVersion()).isAtLeast(state.configurationVersion());
        if (stored.envelope().content() instanceof LogRecord.ConfigurationPublished published
            && next.configurationVersion() > state.configurationVersion()) {
          assertThat(published.baseVersion()).isEqualTo(state.configurationVersion());
        }
        state = next;
      }
    }
  }

  /** Guards against a repeated append that takes effect again after its effect was undone. */
  @Test
  void repeatedAppendChangesNothing() {
    CustomerId customer = new CustomerId("customer");
    RequestId request = new RequestId("request");
    Envelope claim =
        new Envelope(
            new AppendId("a", 1),
            new LogRecord.ClaimRequested(customer, "key", request, new InstanceId("a")));
    Envelope resolution =
        new Envelope(
            new AppendId("a", 2),
            new LogRecord.ClaimResolved(customer, "key", request, Outcome.NOT_RUN));
    AgreedState state =
        foldAll(
            List.of(
                new StoredRecord(0, claim),
                new StoredRecord(1, resolution),
                new StoredRecord(2, claim)));
    assertThat(state.claims().find(customer, "key")).isEmpty();
    assertThat(state.nextOffset()).isEqualTo(3);
  }

  /** Guards against memory that grows with every instance that ever appended. */
  @Test
  void recordedAppendersAreBounded() {
    Sequences sequences = Sequences.EMPTY;
    for (int i = 0; i < Sequences.MAX_APPENDERS + 10; i++) {
      sequences = sequences.plus(new AppendId("appender-" + i, 1), i);
    }
    assertThat(sequences.byAppender()).hasSize(Sequences.MAX_APPENDERS);
    assertThat(sequences.contains(new AppendId("appender-9", 1))).isFalse();
    assertThat(sequences.contains(new AppendId("appender-10", 1))).isTrue();
  }

  private static void checkIndex(AgreedState state, BackendId engine, boolean configured) {
    EngineAccount account = state.ledger().account(engine);
    for (int i = 0; i < 6; i++) {
      ModelId model = Fleet.modelId(i);
      boolean serves = configured && account.serves(model);
      boolean loads =
          configured
              && account.pending().filter(p -> p.load() && p.model().equals(model)).isPresent();
      assertThat(state.ledger().servingOf(model).contains(engine)).isEqualTo(serves);
      assertThat(state.ledger().replicas().loadingOf(model).contains(engine)).isEqualTo(loads);
    }
  }

  private static AgreedState foldAll(List<StoredRecord> log) {
    AgreedState state = AgreedState.INITIAL;
    for (StoredRecord stored : log) {
      state = state.fold(stored).state();
    }
    return state;
  }

  private static NodeState read(List<StoredRecord> records) {
    NodeState.Self self = new NodeState.Self(new InstanceId("late"), 1, new ZoneId("zone-0"));
    return new NodeReducer().reduce(NodeState.initial(self), new RecordsRead(1, records)).state();
  }
}
