package org.limpetdoor.core.agreed;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.LogRecord.LeaseRenewed;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.AppendAnswered;
import org.limpetdoor.core.event.AppendFailed;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;

class OutboxTest {
  private final NodeReducer reducer = new NodeReducer();
  private final List<Envelope> appended = new ArrayList<>();
  private NodeState state =
      NodeState.initial(new NodeState.Self(new InstanceId("a"), 7, new ZoneId("zone-0")));

  /** Guards against more than one append in flight, which would store records out of order. */
  @Test
  void recordsWaitForAppendInFlightAndAreBatched() {
    submit(1);
    submit(2);
    submit(3);
    assertThat(appended).hasSize(1);

    reduce(new AppendAnswered(1, appended.get(0).id(), 10));

    assertThat(appended).hasSize(2);
    assertThat(Outbox.records(appended.get(1).content()))
        .containsExactly(new LeaseRenewed(2, 0), new LeaseRenewed(3, 0))
        .inOrder();
  }

  /** Guards against a lost answer that stores a record under two identifiers. */
  @Test
  void appendWithUnknownOutcomeIsRepeatedWithSameIdentifier() {
    submit(1);
    reduce(new AppendFailed(1, appended.get(0).id(), AppendFailure.OUTCOME_UNKNOWN));
    reduce(new TimerFired(1 + OutboxEvents.INITIAL_BACKOFF_MS));

    assertThat(appended).hasSize(2);
    assertThat(appended.get(1)).isEqualTo(appended.get(0));
  }

  /** Guards against an append that waits forever for an answer that was lost. */
  @Test
  void appendWithoutAnswerIsRepeated() {
    submit(1);
    reduce(new TimerFired(OutboxEvents.ANSWER_TIMEOUT_MS));
    assertThat(appended).hasSize(2);
    assertThat(appended.get(1)).isEqualTo(appended.get(0));
  }

  /** Guards against repeats of an append that is in the log although its answer was lost. */
  @Test
  void readingTheRecordBackConfirmsTheAppend() {
    submit(1);
    submit(2);
    reduce(new RecordsRead(1, List.of(new StoredRecord(0, appended.get(0)))));
    reduce(new AppendFailed(2, appended.get(0).id(), AppendFailure.OUTCOME_UNKNOWN));
    reduce(new AppendAnswered(3, appended.get(1).id(), 1));
    reduce(new TimerFired(60_000));

    assertThat(appended).hasSize(2);
    assertThat(state.coordination().outbox().inFlight()).isEmpty();
  }

  /** Guards against memory that fills with records while the log is down. */
  @Test
  void waitingRecordsAreBoundedAndDeduplicated() {
    for (int i = 0; i < Outbox.MAX_WAITING_RECORDS + 100; i++) {
      submit(i);
      submit(i);
    }
    assertThat(state.coordination().outbox().waiting()).hasSize(Outbox.MAX_WAITING_RECORDS);
    assertThat(state.coordination().outbox().hasCapacity()).isFalse();
  }

  private void submit(int shard) {
    apply(OutboxEvents.submit(state, new LeaseRenewed(shard, 0)));
  }

  private void reduce(Event event) {
    apply(reducer.reduce(state, event));
  }

  private void apply(Transition<NodeState, Effect> transition) {
    state = transition.state();
    for (Effect effect : transition.effects()) {
      if (effect instanceof AppendRecord append) {
        appended.add(append.envelope());
      }
    }
  }
}
