package org.limpetdoor.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.LeaseReleased;
import org.limpetdoor.core.agreed.LogRecord.LeaseRenewed;
import org.limpetdoor.core.agreed.Outbox;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.ListedInstance;

class LeaseTest {
  private static final InstanceId SELF = new InstanceId("a");
  private static final InstanceId OTHER = new InstanceId("b");

  private final List<LogRecord> appended = new ArrayList<>();
  private Envelope lastAppend;
  private long nextOffset;
  private long otherSequence;
  private long nowMs = 5_000;
  private NodeState state = NodeState.initial(new NodeState.Self(SELF, 2, new ZoneId("zone-0")));

  /** Guards against a takeover while the holder renews its lease. */
  @Test
  void renewedLeaseIsNotClaimed() {
    start(OTHER);
    long epoch = readOther(new LeaseClaimed(0, OTHER, -1, LeaseEvents.TTL_MS));
    for (int i = 0; i < 10; i++) {
      run(5);
      readOther(new LeaseRenewed(0, epoch));
    }
    assertThat(appended).isEmpty();
  }

  /** Guards against a shard that stays without a holder after its holder stopped renewing. */
  @Test
  void expiredLeaseIsClaimedWithItsEpoch() {
    start(OTHER);
    long epoch = readOther(new LeaseClaimed(0, OTHER, -1, LeaseEvents.TTL_MS));
    run(14);
    assertThat(appended).isEmpty();
    run(6);
    assertThat(appended).containsExactly(new LeaseClaimed(0, SELF, epoch, LeaseEvents.TTL_MS));
  }

  /** Guards against all instances claiming a lease at the same moment. */
  @Test
  void lowerRankWaitsLonger() {
    InstanceId[] others = {OTHER, new InstanceId("c"), new InstanceId("d"), new InstanceId("e")};
    start(others);
    readOther(new LeaseClaimed(0, OTHER, -1, LeaseEvents.TTL_MS));
    int rank = state.membership().ranked(SELF, "shard-0").indexOf(SELF);
    assertThat(rank).isAtLeast(1);
    run(15 + 3 * rank - 1);
    assertThat(appended).isEmpty();
    run(3);
    assertThat(appended).hasSize(1);
  }

  /** Guards against takeovers of all leases when the log comes back after an outage. */
  @Test
  void silenceDuringLogOutageIsIgnored() {
    start(OTHER);
    readOther(new LeaseClaimed(0, OTHER, -1, LeaseEvents.TTL_MS));
    for (int i = 0; i < 60; i++) {
      nowMs += 1_000;
      reduce(new TimerFired(nowMs));
    }
    run(10);
    assertThat(appended).isEmpty();
  }

  /** Guards against a process that uses the lease of its predecessor, which may still run. */
  @Test
  void leaseOfPreviousIncarnationIsClaimedAgain() {
    start(OTHER);
    long epoch = readOther(new LeaseClaimed(0, SELF, -1, LeaseEvents.TTL_MS));
    assertThat(LeaseEvents.holds(state, 0)).isFalse();
    run(2);
    assertThat(appended).containsExactly(new LeaseClaimed(0, SELF, epoch, LeaseEvents.TTL_MS));
  }

  /**
   * Guards against a holder that resumes after a pause and renews a lease that another has taken
   * over.
   */
  @Test
  void supersededHolderStopsRenewing() {
    start(OTHER);
    run(4);
    long epoch = readOwn();
    assertThat(LeaseEvents.holds(state, 0)).isTrue();
    run(1);
    readOwn(); // The first limit epoch; at most one append is in flight.
    run(6);
    assertThat(appended).contains(new LeaseRenewed(0, epoch));
    readOwn();
    appended.clear();

    readOther(new LeaseClaimed(0, OTHER, epoch, LeaseEvents.TTL_MS));

    assertThat(LeaseEvents.holds(state, 0)).isFalse();
    run(6);
    assertThat(appended).isEmpty();
  }

  /** Guards against leases that stay with an instance that shuts down. */
  @Test
  void releasedLeaseIsFreeAtOnce() {
    start(OTHER);
    run(4);
    long epoch = readOwn();
    apply(LeaseEvents.releaseAll(state));
    assertThat(appended).contains(new LeaseReleased(0, epoch));
    readOwn();
    assertThat(state.agreed().leases().get(0).holder()).isEmpty();
  }

  private void start(InstanceId... others) {
    reduce(new InstanceStarted(nowMs));
    List<ListedInstance> listed = new ArrayList<>();
    for (InstanceId id : others) {
      listed.add(new ListedInstance(id, "127.0.0.1:1", new ZoneId("zone-1"), "region", false));
    }
    reduce(new InstancesListed(nowMs, listed));
  }

  /** Advances the time by seconds, with reads of the log that return no records. */
  private void run(int seconds) {
    for (int i = 0; i < seconds; i++) {
      nowMs += 1_000;
      reduce(new RecordsRead(nowMs, List.of()));
      reduce(new TimerFired(nowMs));
    }
  }

  private long readOther(LogRecord content) {
    return store(new Envelope(new AppendId("other", ++otherSequence), content));
  }

  private long readOwn() {
    return store(lastAppend);
  }

  private long store(Envelope envelope) {
    reduce(new RecordsRead(nowMs, List.of(new StoredRecord(nextOffset, envelope))));
    return nextOffset++;
  }

  private void reduce(Event event) {
    apply(new NodeReducer().reduce(state, event));
  }

  private void apply(Transition<NodeState, Effect> transition) {
    state = transition.state();
    for (Effect effect : transition.effects()) {
      if (effect instanceof AppendRecord append && !append.envelope().equals(lastAppend)) {
        lastAppend = append.envelope();
        appended.addAll(Outbox.records(append.envelope().content()));
      }
    }
  }
}
