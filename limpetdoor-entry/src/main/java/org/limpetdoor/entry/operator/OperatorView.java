package org.limpetdoor.entry.operator;

import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.MultiGauge.Row;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.request.LimitUse;
import org.limpetdoor.entry.traffic.OpenRequest;
import org.limpetdoor.entry.traffic.OpenRequests;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.decision.DecisionRecorder;

/** Read-only view of the state of the instance for the operator endpoints. */
public final class OperatorView {
  private static final double MS_PER_SECOND = 1_000;

  private final Supplier<NodeState> state;
  private final OpenRequests requests;
  private final DecisionRecorder decisions;
  private final PrometheusMeterRegistry metrics;
  private final MonotonicClock clock;
  private final BooleanSupplier logRead;
  private final MultiGauge queueLength;
  private final MultiGauge queueAge;
  private final MultiGauge inFlight;

  /** Queued requests of one customer on this instance. */
  record QueueView(int requests, long oldestAgeMs) {}

  /**
   * Creates a view.
   *
   * @param state supplies the state after the last event
   * @param requests registry of the open requests
   * @param decisions retained decisions
   * @param metrics registry of all metrics
   * @param clock clock of the control thread
   * @param logRead whether the log has been read successfully at least once
   */
  public OperatorView(
      Supplier<NodeState> state,
      OpenRequests requests,
      DecisionRecorder decisions,
      PrometheusMeterRegistry metrics,
      MonotonicClock clock,
      BooleanSupplier logRead) {
    this.state = state;
    this.requests = requests;
    this.decisions = decisions;
    this.metrics = metrics;
    this.clock = clock;
    this.logRead = logRead;
    this.queueLength = multiGauge("limpetdoor.queue.requests", "Waiting requests");
    this.queueAge = multiGauge("limpetdoor.queue.oldest.age.seconds", "Age of the oldest request");
    this.inFlight = multiGauge("limpetdoor.backend.in.flight.requests", "Attempts in flight");
    metrics.gauge("limpetdoor.open.requests", requests, open -> open.all().size());
    metrics.gauge("limpetdoor.log.next.offset", this, v -> v.state.get().agreed().nextOffset());
    metrics.gauge("limpetdoor.log.stopped", this, v -> v.state.get().agreed().stopped() ? 1 : 0);
    metrics.gauge(
        "limpetdoor.configuration.version",
        this,
        v -> v.state.get().agreed().configurationVersion());
  }

  /** Returns whether this instance accepts requests of callers. */
  boolean ready() {
    boolean configured = state.get().agreed().configurationVersion() >= 0;
    return !draining() && !state.get().agreed().stopped() && (configured || logRead.getAsBoolean());
  }

  private boolean draining() {
    return state.get().draining() || requests.draining();
  }

  /** Returns all metrics as Prometheus text. */
  String scrape() {
    Map<CustomerId, QueueView> queues = queues();
    queueLength.register(rows("customer", queues, QueueView::requests), true);
    queueAge.register(rows("customer", queues, q -> q.oldestAgeMs() / MS_PER_SECOND), true);
    inFlight.register(
        rows("backend", state.get().backends().states(), BackendState::inFlight), true);
    return metrics.scrape();
  }

  /** Returns the content of the status endpoint. */
  Map<String, Object> status() {
    NodeState snapshot = state.get();
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("instance", snapshot.self().id().value());
    status.put("incarnation", snapshot.self().incarnation());
    status.put("zone", snapshot.self().zone().value());
    status.put("ready", ready());
    status.put("draining", draining());
    status.put("configurationVersion", snapshot.agreed().configurationVersion());
    status.put("nextOffset", snapshot.agreed().nextOffset());
    status.put("logStopped", snapshot.agreed().stopped());
    status.put("openRequests", requests.all().size());
    status.put("backends", backends(snapshot));
    status.put("queues", queueStatus());
    status.put("limits", limits(snapshot));
    return status;
  }

  /** Returns the retained decisions about a request, oldest first. */
  List<Map<String, String>> explain(String requestId) {
    return decisions.recentDecisionsAbout(requestId).stream().map(OperatorView::fields).toList();
  }

  private static Map<String, String> fields(Decision decision) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("event", decision.kind().eventName());
    fields.put(decision.kind().subjectKey(), decision.subject());
    decision.fields().forEach(field -> fields.put(field.key(), field.value()));
    return fields;
  }

  /** Lists every customer with a contract, which distinguishes an empty queue from missing data. */
  private Map<CustomerId, QueueView> queues() {
    NodeState snapshot = state.get();
    Map<CustomerId, QueueView> queues = new TreeMap<>();
    snapshot.configuration().contracts().keySet().forEach(c -> queues.put(c, new QueueView(0, 0)));
    for (OpenRequest request : requests.all()) {
      if (request.waiting()) {
        snapshot
            .configuration()
            .contractOf(request.spec().key())
            .map(Contract::customer)
            .ifPresent(
                customer -> queues.merge(customer, queueViewOf(request), OperatorView::merge));
      }
    }
    return queues;
  }

  private QueueView queueViewOf(OpenRequest request) {
    return new QueueView(1, Math.max(0, clock.nowMs() - request.arrivedAtMs()));
  }

  private static QueueView merge(QueueView a, QueueView b) {
    return new QueueView(a.requests() + b.requests(), Math.max(a.oldestAgeMs(), b.oldestAgeMs()));
  }

  private Map<String, Object> queueStatus() {
    Map<String, Object> result = new LinkedHashMap<>();
    queues()
        .forEach(
            (customer, queue) ->
                result.put(
                    customer.value(),
                    Map.of("requests", queue.requests(), "oldestAgeMs", queue.oldestAgeMs())));
    return result;
  }

  private Map<String, Object> limits(NodeState snapshot) {
    Map<String, Object> result = new TreeMap<>();
    for (Contract contract : snapshot.configuration().contracts().values()) {
      LimitUse use =
          snapshot.requests().limitUse(contract, Math.max(snapshot.nowMs(), clock.nowMs()));
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("queuedRequests", use.queuedRequests());
      fields.put("maxQueuedRequests", use.maxQueuedRequests());
      fields.put("queuedTokens", use.queuedTokens());
      fields.put("maxQueuedTokens", use.maxQueuedTokens());
      fields.put("availableRequests", use.availableRequests());
      fields.put("burstRequests", use.burstRequests());
      fields.put("availableTokens", use.availableTokens());
      fields.put("burstTokens", use.burstTokens());
      result.put(contract.customer().value(), fields);
    }
    return result;
  }

  private static Map<String, Object> backends(NodeState snapshot) {
    Map<String, Object> result = new TreeMap<>();
    snapshot
        .configuration()
        .engines()
        .keySet()
        .forEach(id -> result.put(id.value(), status(snapshot.backends().get(id))));
    snapshot.backends().states().forEach((id, backend) -> result.put(id.value(), status(backend)));
    return result;
  }

  private static Map<String, Object> status(BackendState backend) {
    Map<String, Object> result = new LinkedHashMap<>();
    result.put("inFlight", backend.inFlight());
    result.put("leaving", backend.leaving());
    backend.report().ifPresent(report -> result.put("reportedRunning", report.running()));
    backend.report().ifPresent(report -> result.put("reportedQueued", report.queued()));
    return result;
  }

  private MultiGauge multiGauge(String name, String description) {
    return MultiGauge.builder(name).description(description).register(metrics);
  }

  private static <K, V> List<Row<?>> rows(
      String tag, Map<K, V> values, java.util.function.Function<V, Number> value) {
    return values.entrySet().stream()
        .<Row<?>>map(
            entry ->
                Row.of(
                    Tags.of(tag, entry.getKey().toString()),
                    value.apply(entry.getValue()).doubleValue()))
        .toList();
  }
}
