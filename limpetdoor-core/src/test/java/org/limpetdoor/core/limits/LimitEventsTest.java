package org.limpetdoor.core.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AgreedEvents;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.LogRecord.LimitEpochStarted;
import org.limpetdoor.core.agreed.Outbox;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.request.Refusal;
import org.limpetdoor.core.request.RefusalReason;
import org.limpetdoor.core.request.RequestSpec;
import org.limpetdoor.core.request.Target;
import org.limpetdoor.core.request.Target.ModelTarget;

class LimitEventsTest {
  private static final InstanceId SELF = new InstanceId("a");
  private static final InstanceId OTHER = new InstanceId("b");

  private final List<LimitEpochStarted> epochs = new ArrayList<>();
  private Optional<Envelope> pending = Optional.empty();
  private long nextOffset;
  private long otherSequence;
  private long nowMs = 5_000;
  private NodeState state = NodeState.initial(new NodeState.Self(SELF, 1, new ZoneId("zone-0")));

  /** Guards against an instance that uses a share before it has read whether others exist. */
  @Test
  void noShareIsUsableBeforeTheFirstEpoch() {
    reduce(new InstanceStarted(nowMs));
    assertThat(usableShare()).isEqualTo(0.0);
    for (int i = 0; i < 20; i++) {
      nowMs += 1_000;
      reduce(new TimerFired(nowMs));
    }
    assertThat(usableShare()).isEqualTo(0.0);
  }

  /**
   * Guards against a single instance that never gets its share, or waits for the TTL of other
   * shares first.
   */
  @Test
  void singleInstanceUsesTheWholeLimitsWithinSeconds() {
    reduce(new InstanceStarted(nowMs));
    advance(5);
    assertThat(usableShare()).isEqualTo(1.0);
    assertThat(epochs).containsExactly(new LimitEpochStarted(-1, List.of(SELF)));
  }

  /** Guards against an epoch for each change of a list that changes continuously. */
  @Test
  void epochsAreRateLimited() {
    reduce(new InstanceStarted(nowMs));
    advance(5);
    for (int i = 0; i < 30; i++) {
      listInstances(i % 2 == 0 ? List.of(OTHER) : List.of(OTHER, new InstanceId("c")));
      advance(1);
    }
    assertThat(epochs.size()).isAtLeast(2);
    assertThat(epochs.size()).isAtMost(4);
  }

  /**
   * Guards against a larger share while a failed member may still apply the epoch that includes it.
   */
  @Test
  void shareOfMissingMemberIsUsableAfterItsTtl() {
    reduce(new InstanceStarted(nowMs));
    append(new LimitEpochStarted(-1, List.of(SELF, OTHER)));
    append(new LimitEpochStarted(0, List.of(SELF)));
    advance(30);
    assertThat(usableShare()).isEqualTo(0.5);
    advance(2);
    assertThat(usableShare()).isEqualTo(1.0);
  }

  /** Guards against a share that is used after its TTL when the log cannot be read. */
  @Test
  void shareExpiresWhenTheLogCannotBeRead() {
    reduce(new InstanceStarted(nowMs));
    advance(5);
    nowMs += ShareTable.TTL_MS;
    reduce(new TimerFired(nowMs));
    assertThat(usableShare()).isEqualTo(1.0);
    nowMs += 1;
    reduce(new TimerFired(nowMs));
    assertThat(usableShare()).isEqualTo(0.0);
  }

  /**
   * Guards against a larger share while other instances may apply an epoch that the snapshot does
   * not contain.
   */
  @Test
  void epochOfSnapshotIsUsedAfterTheTtlOfUnknownEpochs() {
    LimitEpochStarted first = new LimitEpochStarted(-1, List.of(SELF));
    Envelope envelope = new Envelope(new AppendId("other", 1), first);
    AgreedState snapshot = AgreedState.INITIAL.fold(new StoredRecord(0, envelope)).state();
    reduce(new InstanceStarted(nowMs));
    state = AgreedEvents.adopt(state, snapshot).state();
    nextOffset = 1;
    advance(30);
    assertThat(usableShare()).isEqualTo(0.0);
    advance(2);
    assertThat(usableShare()).isEqualTo(1.0);
  }

  /**
   * Guards against an instance that is no member of the epoch and admits requests, or refuses them
   * with the reason that the caller exceeds its rate.
   */
  @Test
  void instanceWithoutShareRefuses() {
    KeyDigest key = new KeyDigest("0".repeat(64));
    Contract contract =
        new Contract(
            new CustomerId("coop"),
            List.of(key),
            new ArrivalLimit(100, 100, 10_000, 10_000),
            new QueueLimit(10, 10_000),
            1_000,
            0,
            1,
            ShedOrder.NORMAL);
    ModelId model = new ModelId("m1");
    Configuration content =
        Configuration.EMPTY
            .withContracts(List.of(contract))
            .withModels(List.of(new Model(model, "v1", 1, 1, 100)));
    reduce(new InstanceStarted(nowMs));
    append(new ConfigurationPublished(-1, "operator", ConfigurationPatch.of(content)));
    append(new LimitEpochStarted(-1, List.of(OTHER)));
    advance(1);
    RequestId id = new RequestId("r1");
    Target target = new ModelTarget(model, Optional.empty());
    RequestSpec spec = new RequestSpec(id, key, target, Optional.empty(), 9, 9, 0, List.of(), 1);
    assertThat(new NodeReducer().reduce(state, new RequestArrived(nowMs, spec)).effects())
        .contains(new RefuseRequest(id, Refusal.notRun(RefusalReason.NO_LIMIT_SHARE, 1_000)));
  }

  private double usableShare() {
    return state.requests().limitShare().otherwise();
  }

  private void listInstances(List<InstanceId> others) {
    List<ListedInstance> entries = new ArrayList<>();
    for (InstanceId id : others) {
      entries.add(new ListedInstance(id, "127.0.0.1:1", new ZoneId("zone-0"), "region", false));
    }
    reduce(new InstancesListed(nowMs, entries));
  }

  /**
   * Advances the clock by seconds, with a log that stores the instance's own appends immediately.
   */
  private void advance(int seconds) {
    for (int i = 0; i < seconds; i++) {
      nowMs += 1_000;
      reduce(new TimerFired(nowMs));
      Optional<Envelope> own = pending;
      pending = Optional.empty();
      own.ifPresent(this::append);
      reduce(new RecordsRead(nowMs, List.of()));
    }
  }

  private void append(LogRecord content) {
    append(new Envelope(new AppendId("other", ++otherSequence), content));
  }

  private void append(Envelope envelope) {
    reduce(new RecordsRead(nowMs, List.of(new StoredRecord(nextOffset++, envelope))));
  }

  private void reduce(Event event) {
    Transition<NodeState, Effect> transition = new NodeReducer().reduce(state, event);
    state = transition.state();
    for (Effect effect : transition.effects()) {
      if (effect instanceof AppendRecord append) {
        pending = Optional.of(append.envelope());
        for (LogRecord content : Outbox.records(append.envelope().content())) {
          if (content instanceof LimitEpochStarted epoch) {
            epochs.add(epoch);
          }
        }
      }
    }
  }
}
