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

/** What operators see of the instance. It reads the last state and changes nothing. */
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

  /** A customer's waiting requests on this instance. */
  record QueueView(int requests, long oldestAgeMs) {}

  /**
   * Creates a view.
   *
   * @param state returns the last state
   * @param requests the open requests
   * @param decisions kept decisions
   * @param metrics registry of all metrics
   * @param clock clock of the control thread
   * @param logRead whether the log has answered at least once
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
    this.queueLength = gauge("limpetdoor.queue.requests", "Waiting requests");
    this.queueAge = gauge("limpetdoor.queue.oldest.age.seconds", "Age of the oldest request");
    this.inFlight = gauge("limpetdoor.backend.in.flight.requests", "Attempts in flight");
    metrics.gauge("limpetdoor.open.requests", requests, open -> open.all().size());
    metrics.gauge("limpetdoor.log.next.offset", this, v -> v.state.get().agreed().nextOffset());
    metrics.gauge("limpetdoor.log.stopped", this, v -> v.state.get().agreed().stopped() ? 1 : 0);
    metrics.gauge(
        "limpetdoor.configuration.version",
        this,
        v -> v.state.get().agreed().configurationVersion());
  }

  /** Returns whether callers may be sent to this instance. */
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

  /** Returns the state of the instance for people and scripts. */
  Map<String, Object> status() {
    NodeState now = state.get();
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("instance", now.self().id().value());
    status.put("incarnation", now.self().incarnation());
    status.put("zone", now.self().zone().value());
    status.put("ready", ready());
    status.put("draining", draining());
    status.put("configurationVersion", now.agreed().configurationVersion());
    status.put("nextOffset", now.agreed().nextOffset());
    status.put("logStopped", now.agreed().stopped());
    status.put("openRequests", requests.all().size());
    status.put("backends", backends(now));
    status.put("queues", queueStatus());
    status.put("limits", limits(now));
    return status;
  }

  /** Returns the kept decisions about a request, oldest first. */
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

  /** Customers with a contract are always listed, so that an empty queue is told from no data. */
  private Map<CustomerId, QueueView> queues() {
    NodeState now = state.get();
    Map<CustomerId, QueueView> queues = new TreeMap<>();
    now.configuration().contracts().keySet().forEach(c -> queues.put(c, new QueueView(0, 0)));
    for (OpenRequest request : requests.all()) {
      if (request.waiting()) {
        now.configuration()
            .contractOf(request.spec().key())
            .map(Contract::customer)
            .ifPresent(customer -> queues.merge(customer, viewOf(request), OperatorView::merge));
      }
    }
    return queues;
  }

  private QueueView viewOf(OpenRequest request) {
    return new QueueView(1, Math.max(0, clock.nowMs() - request.arrivedAtMs()));
  }

  private static QueueView merge(QueueView a, QueueView b) {
    return new QueueView(a.requests() + b.requests(), Math.max(a.oldestAgeMs(), b.oldestAgeMs()));
  }

  private Map<String, Object> queueStatus() {
    Map<String, Object> out = new LinkedHashMap<>();
    queues()
        .forEach(
            (customer, queue) ->
                out.put(
                    customer.value(),
                    Map.of("requests", queue.requests(), "oldestAgeMs", queue.oldestAgeMs())));
    return out;
  }

  private Map<String, Object> limits(NodeState now) {
    Map<String, Object> out = new TreeMap<>();
    for (Contract contract : now.configuration().contracts().values()) {
      LimitUse use = now.requests().limitUse(contract, Math.max(now.nowMs(), clock.nowMs()));
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("queuedRequests", use.queuedRequests());
      fields.put("maxQueuedRequests", use.maxQueuedRequests());
      fields.put("queuedTokens", use.queuedTokens());
      fields.put("maxQueuedTokens", use.maxQueuedTokens());
      fields.put("availableRequests", use.availableRequests());
      fields.put("burstRequests", use.burstRequests());
      fields.put("availableTokens", use.availableTokens());
      fields.put("burstTokens", use.burstTokens());
      out.put(contract.customer().value(), fields);
    }
    return out;
  }

  private static Map<String, Object> backends(NodeState now) {
    Map<String, Object> out = new TreeMap<>();
    now.configuration()
        .engines()
        .keySet()
        .forEach(id -> out.put(id.value(), status(now.backends().get(id))));
    now.backends().states().forEach((id, known) -> out.put(id.value(), status(known)));
    return out;
  }

  private static Map<String, Object> status(BackendState known) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("inFlight", known.inFlight());
    out.put("leaving", known.leaving());
    known.report().ifPresent(report -> out.put("reportedRunning", report.running()));
    known.report().ifPresent(report -> out.put("reportedQueued", report.queued()));
    return out;
  }

  private MultiGauge gauge(String name, String description) {
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
