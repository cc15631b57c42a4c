package org.limpetdoor.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
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
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.AttemptFailed;
import org.limpetdoor.core.event.AttemptStarted;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.request.Target.ModelTarget;

/**
 * Guards against effects of late or duplicate events of an attempt that was replaced by a retry.
 */
final class SupersededAttemptTest {
  private static final KeyDigest KEY = new KeyDigest("0".repeat(64));
  private static final ModelId MODEL = new ModelId("m1");
  private static final RequestId REQUEST = new RequestId("r1");
  private static final AttemptId FIRST = new AttemptId(REQUEST, 1);
  private static final long NOW_MS = 10;

  @Test
  void eventsOfASupersededAttemptChangeNothing() {
    NodeState retried = retried();
    assertThat(retried.requests().find(REQUEST).orElseThrow().triedBackends()).hasSize(2);
    List<Event> late =
        List.of(
            new AttemptStarted(NOW_MS, FIRST),
            new AttemptCompleted(NOW_MS, FIRST, 5),
            new AttemptFailed(NOW_MS, FIRST, AttemptFailure.TIMED_OUT, 3));
    for (Event event : late) {
      assertThat(new NodeReducer().reduce(retried, event)).isEqualTo(Transition.of(retried));
    }
  }

  private static NodeState retried() {
    RequestSpec spec =
        new RequestSpec(
            REQUEST,
            KEY,
            new ModelTarget(MODEL, Optional.empty()),
            Optional.empty(),
            9,
            9,
            0,
            List.of(),
            1);
    NodeReducer reducer = new NodeReducer();
    NodeState sent = reducer.reduce(configured(), new RequestArrived(NOW_MS, spec)).state();
    Transition<NodeState, Effect> failed =
        reducer.reduce(sent, new AttemptFailed(NOW_MS, FIRST, AttemptFailure.CONNECTION_LOST, 0));
    return failed.state();
  }

  private static NodeState configured() {
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
            .withEngines(List.of(engine("e1"), engine("e2")));
    ConfigurationPublished publication =
        new ConfigurationPublished(
            AgreedState.NO_VERSION, "operator", ConfigurationPatch.of(configuration));
    Envelope envelope = new Envelope(new AppendId("operator", 1), publication);
    return NodeState.initial(new NodeState.Self(new InstanceId("i1"), 1, new ZoneId("a")))
        .withAgreed(AgreedState.INITIAL.fold(new StoredRecord(0, envelope)).state());
  }

  private static Engine engine(String id) {
    return new Engine(
        new BackendId(id),
        new ZoneId("a"),
        "127.0.0.1:1",
        4,
        100,
        FencingSupport.CHECKED,
        List.of(MODEL));
  }
}
