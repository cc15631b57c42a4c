package org.limpetdoor.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.BackendLeaving;
import org.limpetdoor.core.event.BackendLoadReported;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.request.RequestSpec;
import org.limpetdoor.core.request.Target;

/**
 * A simulated system of instances, fake back ends and fake callers. Instances start with the first
 * request or when time first advances; the configuration is published to them at that moment.
 */
public final class ScenarioSimulation {
  private final Supplier<Reducer<NodeState, Event, Effect>> reducers;
  private final VirtualTime time = new VirtualTime();
  private final FakeAdapterStore adapterStore = new FakeAdapterStore();
  private final Map<BackendId, FakeBackend> backends = new LinkedHashMap<>();
  private final List<FakeInstance> instances = new ArrayList<>();
  private final List<CallerRecord> callers = new ArrayList<>();
  private final Map<String, CallerRecord> namedCallers = new LinkedHashMap<>();
  private final List<String> instanceZones = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private long publishedVersion = AgreedState.NO_VERSION;
  private long nextRequest = 1;
  private long loadReportLagMs = -1;

  /** Creates a system whose instances run the reducer of limpetdoor. */
  public ScenarioSimulation() {
    this(NodeReducer::new);
  }

  /** Creates a system whose instances run other reducers, one each. */
  public ScenarioSimulation(Supplier<Reducer<NodeState, Event, Effect>> reducers) {
    this.reducers = reducers;
  }

  /** Returns the virtual time. */
  public VirtualTime time() {
    return time;
  }

  /** Returns the model of the adapter loads of all engines. */
  public FakeAdapterStore adapterStore() {
    return adapterStore;
  }

  /** Returns the configuration that is or will be published. */
  public Configuration configuration() {
    return configuration;
  }

  /** Sets the configuration, and publishes the difference at once if the instances have started. */
  public void configure(Configuration value) {
    Configuration previous = configuration;
    adapterStore.setFullSpeedLimit(value.limits().adapterLoadsAtOnce());
    configuration = value;
    addMissingBackends();
    if (!instances.isEmpty()) {
      publish(ConfigurationPatch.between(previous, value));
    }
  }

  /** Adds an instance in a zone; without any, one instance in zone {@code a} is used. */
  public void addInstance(String zone) {
    instanceZones.add(zone);
  }

  /** Makes back ends report their load, with the given lag. */
  public void setLoadReportLagMs(long lagMs) {
    loadReportLagMs = lagMs;
  }

  /** Returns the instances, and starts them first if necessary. */
  public List<FakeInstance> instances() {
    if (instances.isEmpty()) {
      start();
    }
    return instances;
  }

  /** Returns a fake back end. */
  public FakeBackend backend(String id) {
    return Optional.ofNullable(backends.get(new BackendId(id)))
        .orElseThrow(() -> new ScenarioException("there is no back end " + id));
  }

  /** Returns all fake back ends. */
  public List<FakeBackend> backends() {
    return List.copyOf(backends.values());
  }

  /** Returns the records of all callers in the order of sending. */
  public List<CallerRecord> callers() {
    return callers;
  }

  /** Returns the record of a request that was sent under a name. */
  public CallerRecord caller(String name) {
    return Optional.ofNullable(namedCallers.get(name))
        .orElseThrow(() -> new ScenarioException("no request was sent as " + name));
  }

  /** Advances the virtual time, and starts the instances first if necessary. */
  public void advance(long durationMs) {
    instances();
    time.runUntil(time.nowMs() + durationMs);
  }

  /** Sends one request to the next instance in round-robin order. */
  public CallerRecord send(String customer, Target target, RequestShape shape) {
    long number = nextRequest++;
    String id = "q" + number;
    RequestSpec spec =
        new RequestSpec(
            new RequestId(id),
            ScenarioKeys.digest(new CustomerId(customer)),
            target,
            Optional.empty(),
            shape.promptTokens(),
            shape.maxOutputTokens(),
            shape.prefixHash(),
            shape.sharedPromptParts(),
            shape.fingerprint() == 0 ? number : shape.fingerprint());
    CallerRecord caller = new CallerRecord(spec, customer, shape.outputTokens(), time.nowMs());
    callers.add(caller);
    List<FakeInstance> running = instances();
    running.get((int) (number % running.size())).send(caller);
    return caller;
  }

  /** Sends one request under a name, by which checks refer to it. */
  public void sendAs(String name, String customer, Target target, RequestShape shape) {
    namedCallers.put(name, send(customer, target, shape));
  }

  /** Closes the connection of a caller. */
  public void disconnect(String name) {
    RequestId id = caller(name).spec.id();
    instances().forEach(instance -> instance.disconnect(id));
  }

  /** Reports to all instances that a back end is leaving, as the instance list would. */
  public void announceLeaving(String backend) {
    BackendId id = backend(backend).config().id();
    instances().forEach(instance -> instance.handle(new BackendLeaving(time.nowMs(), id)));
  }

  private void start() {
    if (instanceZones.isEmpty()) {
      addInstance("a");
    }
    for (String zone : instanceZones) {
      InstanceId id = new InstanceId("i" + (instances.size() + 1));
      NodeState.Self self = new NodeState.Self(id, 1, new ZoneId(zone));
      instances.add(new FakeInstance(reducers.get(), self, time, backends));
    }
    publish(ConfigurationPatch.of(configuration));
    if (loadReportLagMs >= 0) {
      backends.values().forEach(this::startLoadReports);
    }
  }

  private void startLoadReports(FakeBackend backend) {
    backend.reportLoad(
        500,
        loadReportLagMs,
        (running, waiting) ->
            instances.forEach(
                instance ->
                    instance.handle(
                        new BackendLoadReported(
                            time.nowMs(), backend.config().id(), running, waiting))));
  }

  private void publish(ConfigurationPatch patch) {
    long offset = publishedVersion + 1;
    Envelope envelope =
        new Envelope(
            new AppendId("operator", offset + 1),
            new ConfigurationPublished(publishedVersion, "operator", patch));
    publishedVersion = offset;
    RecordsRead read = new RecordsRead(time.nowMs(), List.of(new StoredRecord(offset, envelope)));
    instances.forEach(instance -> instance.handle(read));
  }

  private void addMissingBackends() {
    for (Engine engine : configuration.engines().values()) {
      addBackend(engine);
    }
    for (PlainService service : configuration.services().values()) {
      service.endpoints().forEach(this::addBackend);
    }
  }

  private void addBackend(Backend config) {
    backends.computeIfAbsent(config.id(), id -> new FakeBackend(config, time, adapterStore));
  }
}
