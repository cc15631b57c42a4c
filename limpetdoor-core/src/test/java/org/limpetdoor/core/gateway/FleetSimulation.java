package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.AdoptStoreEra;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.FollowStore;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.EnginesRead;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.event.GatewayStarted;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.PeerLinkDown;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.RoutesRead;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.event.StoreEraObserved;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.gateway.Route.WeightedService;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.core.gateway.account.Credential;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/** A fleet of gateways on virtual time, with the store and the links between the instances. */
final class FleetSimulation {
  /** Calls stay in flight for the whole test. */
  private static final int LONG_TIMEOUT_MS = 1_000_000;

  private static final long LATENCY_MS = 4;
  private static final long FIRST_EVENT_MS = 40;
  private static final long CONNECT_MS = 15;
  private static final long STORE_MS = 8;

  private final NodeReducer reducer = new NodeReducer();
  private final Random random;
  private final Map<InstanceId, Instance> instances = new LinkedHashMap<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::number));
  private final List<ListedInstance> listed = new ArrayList<>();
  private final List<ListedInstance> entries;
  private final List<EngineEntry> engines = new ArrayList<>();
  private final List<BackendId> removed = new ArrayList<>();
  private final Set<InstanceId> cutFromStore = new HashSet<>();
  private final Map<InstanceId, Integer> reportedCalls = new HashMap<>();
  private final List<Long> crashTimesMs = new ArrayList<>();
  private Optional<Long> crashingPart = Optional.empty();
  private boolean crashesAfterFirstEvent;
  private int answeredCalls;
  private RouteTable routes;
  private long listOffset = 10;
  private long storeEra;
  private long nowMs = 1_000;
  private long nextNumber;
  private long storeReads;
  private long peerMessages;

  private record Delivery(long atMs, long number, Runnable action) {}

  private final class Instance {
    final InstanceId id;
    final ZoneId zone;
    NodeState state;
    boolean live = true;
    boolean frozen;
    long followMs;
    int followRun;
    long readOffset = -1;
    long readEra;
    final Set<InstanceId> links = new HashSet<>();

    Instance(InstanceId id, ZoneId zone) {
      this.id = id;
      this.zone = zone;
      this.state = NodeState.initial(new Self(id, 1, zone));
    }
  }

  FleetSimulation(int size, int zones, long seed) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      InstanceId id = new InstanceId("n" + i);
      ZoneId zone = new ZoneId("z" + i % zones);
      instances.put(id, new Instance(id, zone));
      double cores = i % 5 == 0 ? 1.5 : 0.36;
      listed.add(new ListedInstance(id, "10.0.0.1:" + (1_000 + i), zone, "r", false, cores));
    }
    entries = List.copyOf(listed);
    for (int i = 0; i < 8; i++) {
      engines.add(engineWithManySlots("e" + i));
    }
    routes = routes(1);
    for (Instance instance : instances.values()) {
      reduce(instance, new GatewayStarted(nowMs, GatewayFixture.SETTINGS));
    }
  }

  private static EngineEntry engineWithManySlots(String id) {
    EngineEntry entry = GatewayFixture.plain(id);
    return new EngineEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.zone(),
        1_000,
        false,
        entry.startedAtMs(),
        0,
        entry.held(),
        entry.copies());
  }

  private static RouteTable routes(long version) {
    return RouteTable.of(
        version,
        List.of(
            new Route(
                "r",
                GatewayFixture.HOST,
                "/safe/",
                CallKind.IDEMPOTENT,
                LONG_TIMEOUT_MS,
                LONG_TIMEOUT_MS,
                2,
                1,
                false,
                0,
                false,
                List.of(new WeightedService("plain", 1)))),
        List.of(new ServiceSpec("plain", 100, Optional.empty())),
        CallerLimits.DEFAULT);
  }

  List<InstanceId> ids() {
    return List.copyOf(instances.keySet());
  }

  List<InstanceId> liveIds() {
    return instances.values().stream().filter(i -> i.live).map(i -> i.id).toList();
  }

  NodeState state(InstanceId id) {
    return instances.get(id).state;
  }

  List<InstanceId> hubs() {
    return liveIds().stream().filter(id -> state(id).gateway().isHub()).toList();
  }

  boolean followsStore(InstanceId id) {
    return instances.get(id).followMs > 0;
  }

  int links(InstanceId id) {
    return instances.get(id).links.size();
  }

  /** Returns the number of reads of the list of engines since the last call. */
  long takeStoreReads() {
    long result = storeReads;
    storeReads = 0;
    return result;
  }

  /** Returns the number of messages between instances since the last call. */
  long takePeerMessages() {
    long result = peerMessages;
    peerMessages = 0;
    return result;
  }

  /** Returns the number of calls of models that digests have reported to an instance. */
  int reportedCalls(InstanceId id) {
    return reportedCalls.getOrDefault(id, 0);
  }

  InstanceId any(List<InstanceId> among) {
    return among.get(random.nextInt(among.size()));
  }

  /** Ends an instance without notice; its links end. */
  void kill(InstanceId id) {
    Instance killed = instances.get(id);
    killed.live = false;
    killed.followMs = 0;
    for (InstanceId peer : Set.copyOf(killed.links)) {
      disconnect(killed, instances.get(peer));
    }
  }

  /** Stops an instance for some time; its links stay open and messages to it are delayed. */
  /** Starts an instance again that was ended; it has forgotten everything. */
  void restart(InstanceId id) {
    Instance restarted = new Instance(id, instances.get(id).zone);
    instances.put(id, restarted);
    reduce(restarted, new GatewayStarted(nowMs, GatewayFixture.SETTINGS));
  }

  void freeze(InstanceId id, boolean frozen) {
    instances.get(id).frozen = frozen;
  }

  void cutFromStore(InstanceId id, boolean cut) {
    if (cut) {
      cutFromStore.add(id);
    } else {
      cutFromStore.remove(id);
    }
  }

  /**
   * Restores the store from a copy that lacks the entries of half of the instances, of which each
   * writes its entry again when it learns of the new era, and those of some engines.
   *
   * @param lostEngines number of engines whose entries are lost
   */
  void restoreStore(int lostEngines) {
    storeEra++;
    listOffset = 1;
    listed.removeIf(entry -> Math.floorMod(entry.id().hashCode(), 2) == 0);
    engines.subList(0, lostEngines).clear();
  }

  /** Lists engines again that the store has lost. */
  void listAgain(List<BackendId> ids) {
    for (BackendId id : ids) {
      if (!engineIds().contains(id)) {
        engines.add(engineWithManySlots(id.value()));
      }
    }
    listOffset++;
  }

  private void writeEntry(Instance instance) {
    ListedInstance own =
        entries.stream().filter(entry -> entry.id().equals(instance.id)).findFirst().orElseThrow();
    if (instance.live && !listed.contains(own)) {
      listed.add(own);
      instances.values().forEach(reader -> after(STORE_MS, () -> readInstances(reader)));
    }
  }

  void publish(long version) {
    routes = routes(version);
    for (Instance instance : instances.values()) {
      after(STORE_MS, () -> readRoutes(instance));
    }
  }

  /** Removes the entry of an engine that never said that it leaves. */
  void removeEngine(int index) {
    removed.add(engines.remove(index).id());
    listOffset++;
  }

  void drainEngine(int index) {
    engines.set(index, engines.get(index).withDraining());
    listOffset++;
  }

  void call(InstanceId id, long number) {
    call(id, number, Optional.empty());
  }

  void call(InstanceId id, long number, ModelKey model) {
    call(id, number, Optional.of(model));
  }

  /** Lets engines answer calls from now on, unless their prompt has a part that crashes them. */
  void answerCallsWithout(long part) {
    crashingPart = Optional.of(part);
  }

  /** Lets engines send the first event of an answer before they crash. */
  void crashAfterFirstEvent() {
    crashesAfterFirstEvent = true;
  }

  /** Returns the times at which engines crashed, in monotonic milliseconds. */
  List<Long> crashTimesMs() {
    return List.copyOf(crashTimesMs);
  }

  int answeredCalls() {
    return answeredCalls;
  }

  long nowMs() {
    return nowMs;
  }

  void prompt(InstanceId id, long number, List<Long> sharedParts) {
    call(id, number, Optional.empty(), sharedParts);
  }

  private void call(InstanceId id, long number, Optional<ModelKey> model) {
    call(id, number, model, List.of());
  }

  private void call(InstanceId id, long number, Optional<ModelKey> model, List<Long> sharedParts) {
    CallSpec spec =
        new CallSpec(
            number,
            "c" + number,
            GatewayFixture.HOST,
            "/safe/x",
            Optional.of(LONG_TIMEOUT_MS),
            model,
            0,
            OptionalLong.empty(),
            0,
            sharedParts,
            number,
            Credential.ABSENT);
    reduce(instances.get(id), new CallArrived(nowMs, spec, nowMs));
  }

  int ownCalls(InstanceId id, BackendId engine) {
    return state(id).gateway().engines().find(engine).map(e -> e.load().inFlight()).orElse(0);
  }

  List<BackendId> engineIds() {
    return engines.stream().map(EngineEntry::id).toList();
  }

  void advance(long ms) {
    long untilMs = nowMs + ms;
    while (true) {
      long timerMs =
          instances.values().stream()
              .filter(i -> i.live && !i.frozen)
              .mapToLong(i -> i.state.nextDeadlineMs())
              .min()
              .orElse(Long.MAX_VALUE);
      long deliveryMs = deliveries.isEmpty() ? Long.MAX_VALUE : deliveries.peek().atMs();
      long nextMs = Math.min(timerMs, deliveryMs);
      if (nextMs > untilMs) {
        nowMs = untilMs;
        return;
      }
      nowMs = Math.max(nowMs, nextMs);
      if (deliveryMs <= timerMs) {
        deliveries.remove().action().run();
      } else {
        fireTimers();
      }
    }
  }

  private void fireTimers() {
    for (Instance instance : instances.values()) {
      if (instance.live && !instance.frozen && instance.state.nextDeadlineMs() <= nowMs) {
        reduce(instance, new TimerFired(nowMs));
      }
    }
  }

  private void after(long delayMs, Runnable action) {
    deliveries.add(new Delivery(nowMs + delayMs, nextNumber++, action));
  }

  private void reduce(Instance instance, Event event) {
    Transition<NodeState, Effect> transition = reducer.reduce(instance.state, event);
    instance.state = transition.state();
    transition.effects().forEach(effect -> execute(instance, effect));
  }

  private void execute(Instance instance, Effect effect) {
    if (effect instanceof ConnectPeer connection) {
      int index = Integer.parseInt(connection.address().split(":", 2)[1]) - 1_000;
      after(CONNECT_MS, () -> connect(instance, instances.get(ids().get(index))));
    } else if (effect instanceof SendToPeer message) {
      peerMessages++;
      after(LATENCY_MS, () -> deliver(instance, message.peer(), message.message()));
    } else if (effect instanceof FollowStore follow) {
      follow(instance, follow.engineIntervalMs());
    } else if (effect instanceof AdoptStoreEra) {
      after(STORE_MS, () -> writeEntry(instance));
    } else if (effect instanceof ForwardCall forward && crashingPart.isPresent()) {
      after(FIRST_EVENT_MS, () -> runOnEngine(instance, forward));
    }
  }

  /** Answers a call, or loses its connection if its prompt has the part that crashes engines. */
  private void runOnEngine(Instance instance, ForwardCall forward) {
    Call call = instance.state.gateway().calls().get(forward.call());
    if (!instance.live || call == null) {
      return;
    }
    boolean crashes = call.spec().sharedPromptParts().contains(crashingPart.get());
    if (crashes) {
      crashTimesMs.add(nowMs);
    } else {
      answeredCalls++;
    }
    boolean started = !crashes || crashesAfterFirstEvent;
    if (started) {
      reduce(instance, new ForwardStarted(nowMs, forward.call(), forward.attempt()));
    }
    ForwardResult result = crashes ? ForwardResult.CONNECTION_LOST : ForwardResult.COMPLETED;
    reduce(instance, new ForwardEnded(nowMs, forward.call(), forward.attempt(), result, started));
  }

  private void connect(Instance from, Instance to) {
    if (!from.live || !to.live || to.frozen || !from.links.add(to.id)) {
      return;
    }
    to.links.add(from.id);
    reduce(from, new PeerLinkUp(nowMs, to.id));
    reduce(to, new PeerLinkUp(nowMs, from.id));
  }

  private void disconnect(Instance one, Instance other) {
    one.links.remove(other.id);
    other.links.remove(one.id);
    if (one.live) {
      reduce(one, new PeerLinkDown(nowMs, other.id));
    }
    if (other.live) {
      reduce(other, new PeerLinkDown(nowMs, one.id));
    }
  }

  private void deliver(Instance from, InstanceId peer, PeerMessage message) {
    Instance to = instances.get(peer);
    if (!to.live || !to.links.contains(from.id)) {
      return;
    }
    if (to.frozen) {
      after(100, () -> deliver(from, peer, message));
      return;
    }
    if (message instanceof LoadDigest digest) {
      int calls = digest.arrivals().values().stream().mapToInt(Integer::intValue).sum();
      reportedCalls.merge(peer, calls, Integer::sum);
    }
    reduce(to, new PeerMessageReceived(nowMs, from.id, message));
  }

  private void follow(Instance instance, long intervalMs) {
    boolean wasFollowing = instance.followMs > 0;
    instance.followMs = intervalMs;
    instance.followRun++;
    if (intervalMs == 0) {
      return;
    }
    instance.readOffset = wasFollowing ? instance.readOffset : -1;
    int run = instance.followRun;
    after(STORE_MS, () -> readEngines(instance, run));
    after(STORE_MS, () -> readRoutes(instance));
    after(STORE_MS, () -> readInstances(instance));
  }

  private void readRoutes(Instance instance) {
    if (instance.live && instance.followMs > 0 && !cutFromStore.contains(instance.id)) {
      reduce(instance, new RoutesRead(nowMs, routes, RoutesRead.Source.STORE));
    }
  }

  private void readInstances(Instance instance) {
    if (instance.live && instance.followMs > 0 && !cutFromStore.contains(instance.id)) {
      reduce(instance, new InstancesListed(nowMs, listed));
    }
  }

  private void readEngines(Instance instance, int run) {
    if (!instance.live || instance.followRun != run) {
      return;
    }
    after(instance.followMs, () -> readEngines(instance, run));
    if (instance.frozen) {
      return;
    }
    storeReads++;
    boolean cut = cutFromStore.contains(instance.id);
    reduce(instance, new StoreContactChanged(nowMs, !cut));
    if (!cut) {
      if (instance.readEra != storeEra) {
        instance.readEra = storeEra;
        instance.readOffset = -1;
        reduce(instance, new StoreEraObserved(nowMs, storeEra));
        readInstances(instance);
      }
      boolean complete = instance.readOffset < 0;
      long fromOffset = complete ? 0 : instance.readOffset;
      instance.readOffset = listOffset;
      reduce(
          instance,
          new EnginesRead(
              nowMs,
              new EngineListing(storeEra, fromOffset, listOffset, engines, removed, complete)));
    }
  }
}
