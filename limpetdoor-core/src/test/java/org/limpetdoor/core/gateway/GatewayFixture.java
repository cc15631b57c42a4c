package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.EnginesRead;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.GatewayStarted;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.RoutesRead;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.gateway.Route.WeightedService;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.gateway.ServiceSpec.ModelSpec;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.Credential;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.limits.UseReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;

/** Runs the reducer of one gateway on virtual time and records all effects. */
final class GatewayFixture {
  static final String HOST = "shop.example";
  static final ModelKey SMALL = ModelKey.of("small");
  static final GatewaySettings SETTINGS =
      new GatewaySettings(7_000, 0.2, 50, 3_000, true, 2_300, 1_000, 1_200);

  private final NodeReducer reducer = new NodeReducer();
  private final List<Effect> effects = new ArrayList<>();
  private NodeState state =
      NodeState.initial(new Self(new InstanceId("node-1"), 1, new ZoneId("zone-a")));
  private long nowMs = 1_000;
  private long nextCall = 1;
  private long listOffset;
  private boolean hasSmallModel;

  GatewayFixture() {
    reduce(new GatewayStarted(nowMs, SETTINGS));
    reduce(new StoreContactChanged(nowMs, true));
  }

  long nowMs() {
    return nowMs;
  }

  GatewayState gateway() {
    return state.gateway();
  }

  NodeState node() {
    return state;
  }

  void reduce(Event event) {
    Transition<NodeState, Effect> transition = reducer.reduce(state, event);
    state = transition.state();
    effects.addAll(transition.effects());
  }

  /** Advances the time and fires the timers that are due, in order. */
  void advance(long ms) {
    long untilMs = nowMs + ms;
    while (state.nextDeadlineMs() <= untilMs) {
      nowMs = Math.max(nowMs, state.nextDeadlineMs());
      reduce(new TimerFired(nowMs));
    }
    nowMs = untilMs;
  }

  /** Returns the effects of a type since the last call, and clears all recorded effects. */
  <E extends Effect> List<E> take(Class<E> type) {
    List<E> found = effects.stream().filter(type::isInstance).map(type::cast).toList();
    effects.clear();
    return found;
  }

  void routes(long version, Route... routes) {
    routes(version, AccountTable.NONE, routes);
  }

  void routes(long version, AccountTable accounts, Route... routes) {
    PMap<String, ModelSpec> models = HashTreePMap.empty();
    for (String name : List.of("m1", "m2", "m3")) {
      models = models.plus(name, new ModelSpec(name, 40_000, 2_000, 400, 10));
    }
    if (hasSmallModel) {
      models = models.plus(SMALL.model(), new ModelSpec(SMALL.model(), 2_000, 1_000, 300, 10));
    }
    EngineSpec spec = new EngineSpec(100_000, 83_000, 2, 2, models);
    Collection<ServiceSpec> services =
        List.of(
            new ServiceSpec("llm", 100, Optional.of(spec)),
            new ServiceSpec("plain", 100, Optional.empty()));
    reduce(
        new RoutesRead(
            nowMs,
            RouteTable.of(version, List.of(routes), services, CallerLimits.DEFAULT, accounts),
            RoutesRead.Source.STORE));
  }

  /** Adds a model that fits beside two others to the configurations from now on. */
  void withSmallModel() {
    hasSmallModel = true;
  }

  void engines(EngineEntry... entries) {
    engineList(List.of(entries), List.of(), false);
  }

  /** Delivers the next range of the list of engines, or the complete list. */
  void engineList(List<EngineEntry> entries, List<BackendId> removed, boolean complete) {
    long fromOffset = complete ? 0 : listOffset;
    listOffset++;
    reduce(
        new EnginesRead(
            nowMs, new EngineListing(0, fromOffset, listOffset, entries, removed, complete)));
  }

  long call(String path, Optional<ModelKey> model, int timeLeftMs) {
    return call(path, model, timeLeftMs, 7);
  }

  long call(String path, Optional<ModelKey> model, int timeLeftMs, long fingerprint) {
    long id = nextCall++;
    reduce(
        new CallArrived(
            nowMs,
            new CallSpec(
                id,
                "c" + id,
                HOST,
                path,
                Optional.of(timeLeftMs),
                model,
                100,
                OptionalLong.empty(),
                0,
                List.of(),
                fingerprint,
                Credential.ABSENT),
            nowMs));
    return id;
  }

  /** Delivers a call without a model that presents a credential. */
  long callWith(Credential credential, String path) {
    long id = nextCall++;
    reduce(
        new CallArrived(
            nowMs,
            new CallSpec(
                id,
                "c" + id,
                HOST,
                path,
                Optional.of(1_000),
                Optional.empty(),
                100,
                OptionalLong.empty(),
                0,
                List.of(),
                id,
                credential),
            nowMs));
    return id;
  }

  /** Delivers a call for {@code m1} whose prompt has the given shared parts and one of its own. */
  long prompt(Long... sharedParts) {
    long id = nextCall++;
    reduce(
        new CallArrived(
            nowMs,
            new CallSpec(
                id,
                "c" + id,
                HOST,
                "/chat/x",
                Optional.of(10_000),
                Optional.of(ModelKey.of("m1")),
                100,
                OptionalLong.empty(),
                0,
                List.of(sharedParts),
                1_000 + id,
                Credential.ABSENT),
            nowMs));
    return id;
  }

  /** Establishes a link to a peer and delivers evidence of crashes from it. */
  void peerReports(CrashReport... reports) {
    peerDigest("node-2", true, 0, HashTreePMap.empty(), List.of(reports));
  }

  /** Establishes a link to a peer and delivers a digest from it. */
  void peerDigest(String peer, boolean storeReachable, long fencingNumber) {
    peerDigest(peer, storeReachable, fencingNumber, HashTreePMap.empty(), List.of());
  }

  /** Establishes a link to a peer and delivers a digest with its calls in flight. */
  void peerLoad(String peer, PMap<BackendId, Integer> inFlight) {
    peerDigest(peer, true, 0, inFlight, List.of());
  }

  private void peerDigest(
      String peer,
      boolean storeReachable,
      long fencingNumber,
      PMap<BackendId, Integer> inFlight,
      List<CrashReport> reports) {
    InstanceId id = new InstanceId(peer);
    LoadDigest digest =
        new LoadDigest(
            DigestScope.GROUP,
            new DigestTimes(nowMs, 0),
            new StoreFacts(1, new StorePosition(0, 0), storeReachable, 0),
            fencingNumber,
            inFlight,
            HashTreePMap.empty(),
            HashTreePSet.empty(),
            HashTreePMap.empty(),
            UseReport.NONE,
            reports);
    reduce(new PeerLinkUp(nowMs, id));
    reduce(new PeerMessageReceived(nowMs, id, digest));
  }

  void endForward(long call, int attempt, ForwardResult result) {
    reduce(new ForwardEnded(nowMs, call, attempt, result, false));
  }

  static Route route(String prefix, CallKind kind, int maxAttempts) {
    return new Route(
        "r" + prefix,
        HOST,
        prefix,
        kind,
        2_000,
        200,
        maxAttempts,
        1,
        kind == CallKind.STREAM,
        150,
        false,
        List.of(new WeightedService("plain", 1)));
  }

  static Route modelRoute(String prefix) {
    return new Route(
        "m" + prefix,
        HOST,
        prefix,
        CallKind.STREAM,
        10_000,
        400,
        2,
        1,
        true,
        150,
        false,
        List.of(new WeightedService("llm", 1)));
  }

  /** Returns an entry of an engine that keeps copies of the weights of some models. */
  static EngineEntry withCopies(EngineEntry entry, String... models) {
    return new EngineEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.zone(),
        entry.slots(),
        entry.draining(),
        entry.startedAtMs(),
        entry.ordersAccepted(),
        entry.held(),
        HashTreePSet.from(List.of(models)));
  }

  static EngineEntry plain(String id) {
    return entry(id, "plain", 1, 0);
  }

  static EngineEntry entry(
      String id, String service, long startedAtMs, long orders, ModelKey... held) {
    return new EngineEntry(
        new BackendId(id),
        service,
        "10.0.0." + Math.floorMod(id.hashCode(), 200) + ":80",
        new ZoneId("zone-a"),
        4,
        false,
        startedAtMs,
        orders,
        HashTreePSet.from(List.of(held)),
        HashTreePSet.empty());
  }
}
