package org.limpetdoor.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.PlacementConfirmed;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.request.Target.ModelTarget;

/**
 * Guards against routing by the initial models of the configuration after placement orders have
 * changed the replicas.
 */
final class LedgerRoutingTest {
  private static final KeyDigest KEY = new KeyDigest("0".repeat(64));
  private static final ModelId MODEL = new ModelId("m1");
  private static final BackendId FIRST = new BackendId("e1");
  private static final BackendId SECOND = new BackendId("e2");

  private final NodeReducer reducer = new NodeReducer();
  private NodeState state =
      NodeState.initial(new NodeState.Self(new InstanceId("i1"), 1, new ZoneId("a")));
  private int requestCount;

  @Test
  void requestsAreRoutedByConfirmedLoadsAndUnloads() {
    applyRecord(published());
    assertThat(dispatch()).hasValue(FIRST);

    intendAndConfirm(SECOND, PlacementAction.LOAD);
    assertThat(state.agreed().replicas(MODEL)).containsExactly(FIRST, SECOND);
    assertThat(dispatch()).hasValue(SECOND);

    intendAndConfirm(FIRST, PlacementAction.UNLOAD);
    assertThat(state.agreed().replicas(MODEL)).containsExactly(SECOND);
    for (int i = 0; i < 3; i++) {
      assertThat(dispatch()).hasValue(SECOND);
    }
    assertThat(dispatch()).isEmpty();
  }

  /** Guards against requests to an engine that is about to unload the model. */
  @Test
  void engineWithIntendedUnloadGetsNoRequests() {
    applyRecord(published());
    intendAndConfirm(SECOND, PlacementAction.LOAD);
    intend(FIRST, PlacementAction.UNLOAD);
    assertThat(dispatch()).hasValue(SECOND);
    assertThat(dispatch()).hasValue(SECOND);
  }

  private void intendAndConfirm(BackendId engine, PlacementAction action) {
    intend(engine, action);
    applyRecord(new PlacementConfirmed(engine + "/" + action));
  }

  private void intend(BackendId engine, PlacementAction action) {
    int shard = Shards.of(engine);
    applyRecord(
        new LeaseClaimed(
            shard, new InstanceId("i2"), state.agreed().leases().get(shard).epoch(), 15_000));
    long epoch = state.agreed().leases().get(shard).epoch();
    applyRecord(
        new PlacementIntended(engine + "/" + action, shard, epoch, engine, MODEL, 1, action));
  }

  private void applyRecord(LogRecord logRecord) {
    long offset = state.agreed().nextOffset();
    Envelope envelope = new Envelope(new AppendId("i2:1", offset + 1), logRecord);
    StoredRecord stored = new StoredRecord(offset, envelope);
    state = reducer.reduce(state, new RecordsRead(offset, List.of(stored))).state();
  }

  /** Returns the engine to which a new request is dispatched, if it is not queued. */
  private Optional<BackendId> dispatch() {
    requestCount++;
    RequestId id = new RequestId("r" + requestCount);
    RequestSpec spec =
        new RequestSpec(
            id,
            KEY,
            new ModelTarget(MODEL, Optional.empty()),
            Optional.empty(),
            9,
            9,
            0,
            List.of(),
            1);
    var transition = reducer.reduce(state, new RequestArrived(state.nowMs(), spec));
    state = transition.state();
    return transition.effects().stream()
        .filter(DispatchAttempt.class::isInstance)
        .map(effect -> ((DispatchAttempt) effect).backend())
        .findFirst();
  }

  private static LogRecord published() {
    Contract contract =
        new Contract(
            new CustomerId("coop"),
            List.of(KEY),
            new ArrivalLimit(100, 100, 10_000, 10_000),
            new QueueLimit(10, 10_000),
            1_000,
            0,
            1,
            ShedOrder.NORMAL);
    Configuration configuration =
        Configuration.EMPTY
            .withContracts(List.of(contract))
            .withModels(List.of(new Model(MODEL, "v1", 1, 1, 100)))
            .withEngines(List.of(engine(FIRST, List.of(MODEL)), engine(SECOND, List.of())));
    return new ConfigurationPublished(
        AgreedState.NO_VERSION, "test", ConfigurationPatch.of(configuration));
  }

  private static Engine engine(BackendId id, List<ModelId> models) {
    return new Engine(id, new ZoneId("a"), "127.0.0.1:1", 4, 100, FencingSupport.CHECKED, models);
  }
}
