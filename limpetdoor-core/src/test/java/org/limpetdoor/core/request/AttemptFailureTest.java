package org.limpetdoor.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
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
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.event.AttemptFailed;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RecordsRead;
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

/** Guards against wrong retries and wrong outcomes after failed attempts. */
final class AttemptFailureTest {
  private static final ZoneId ZONE = new ZoneId("a");
  private static final ModelId MODEL = new ModelId("m");
  private static final KeyDigest KEY = new KeyDigest("0".repeat(64));

  private NodeState state = NodeState.initial(new NodeState.Self(new InstanceId("i"), 1, ZONE));

  @BeforeEach
  void configure() {
    ConfigurationPublished published =
        new ConfigurationPublished(
            AgreedState.NO_VERSION, "test", ConfigurationPatch.of(configuration()));
    Envelope envelope = new Envelope(new AppendId("test", 1), published);
    reduce(new RecordsRead(0, List.of(new StoredRecord(0, envelope))));
  }

  /**
   * Guards against retrying a request that cannot be encoded for any engine, and against taking a
   * healthy engine out of service because of it.
   */
  @Test
  void requestThatCannotBeSentIsRefusedAndItsEngineStaysInService() {
    BackendId tried = dispatched(reduce(arrival("r1"))).backend();

    List<Effect> effects = reduce(failed("r1", 1, AttemptFailure.NOT_SENT));

    assertThat(effects).contains(refusal("r1", Refusal.notRun(RefusalReason.REQUEST_NOT_SENT)));
    assertThat(effects.stream().anyMatch(DispatchAttempt.class::isInstance)).isFalse();
    assertThat(dispatched(reduce(arrival("r2"))).backend()).isEqualTo(tried);
  }

  /** Guards against reporting "not run" for a request of which an earlier attempt may have run. */
  @ParameterizedTest
  @EnumSource(names = {"NOT_SENT", "NOT_STARTED", "CONNECT_FAILED"})
  void outcomeIsUnknownAfterAnEarlierAttemptThatMayHaveRun(AttemptFailure last) {
    reduce(arrival("r"));
    reduce(failed("r", 1, AttemptFailure.ERROR_ANSWER));

    List<Effect> effects = reduce(failed("r", 2, last));

    assertThat(
            effects.stream()
                .filter(RefuseRequest.class::isInstance)
                .map(effect -> ((RefuseRequest) effect).refusal().outcome()))
        .containsExactly(Outcome.UNKNOWN);
  }

  private List<Effect> reduce(Event event) {
    Transition<NodeState, Effect> result = new NodeReducer().reduce(state, event);
    state = result.state();
    return result.effects();
  }

  private static DispatchAttempt dispatched(List<Effect> effects) {
    return effects.stream()
        .filter(DispatchAttempt.class::isInstance)
        .map(DispatchAttempt.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private static RefuseRequest refusal(String id, Refusal refusal) {
    return new RefuseRequest(new RequestId(id), refusal);
  }

  private static AttemptFailed failed(String id, int attempt, AttemptFailure failure) {
    return new AttemptFailed(2, new AttemptId(new RequestId(id), attempt), failure, 0);
  }

  private static RequestArrived arrival(String id) {
    ModelTarget target = new ModelTarget(MODEL, Optional.empty());
    return new RequestArrived(
        1,
        new RequestSpec(new RequestId(id), KEY, target, Optional.empty(), 1, 1, 0, List.of(), 0));
  }

  private static Configuration configuration() {
    Contract contract =
        new Contract(
            new CustomerId("c"),
            List.of(KEY),
            new ArrivalLimit(1_000, 1_000, 1_000_000, 1_000_000),
            new QueueLimit(10, 100_000),
            60_000,
            0.5,
            1,
            ShedOrder.NORMAL);
    return Configuration.EMPTY
        .withContracts(List.of(contract))
        .withModels(List.of(new Model(MODEL, "1", 1, 1, 1_000)))
        .withEngines(List.of(engine("e1"), engine("e2")));
  }

  private static Engine engine(String id) {
    return new Engine(
        new BackendId(id), ZONE, "127.0.0.1:1", 4, 10, FencingSupport.CHECKED, List.of(MODEL));
  }
}
