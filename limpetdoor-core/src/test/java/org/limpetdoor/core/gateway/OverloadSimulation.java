package org.limpetdoor.core.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.AccountTable.AccountKeys;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.AllowanceUnit;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.gateway.account.Credential;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.request.Rendezvous;
import org.pcollections.HashTreePMap;

/**
 * Five gateways before five engines of twelve slots, on virtual time. Sixteen accounts of very
 * uneven size ask for most of the capacity; one of them may send a burst. The gateways learn each
 * other's calls in flight up to 250 ms late.
 */
final class OverloadSimulation {
  static final int ACCOUNTS = 16;
  static final long BURST_FROM_MS = 3_000;
  static final long BURST_TO_MS = 9_500;
  private static final double BURST_FACTOR = 7.5;
  private static final int GATEWAYS = 5;
  private static final int ENGINES = 5;
  private static final int SLOTS = 12;
  private static final long RUN_MS = 1_200;
  private static final long FIRST_EVENT_MS = 60;
  private static final long STEP_MS = 10;
  private static final long LOSS_AT_MS = BURST_FROM_MS + 1_000;

  /** Usual demand, as a share of the capacity of all engines. */
  private static final double DEMAND = 0.85;

  private static final double SIZE_RATIO = 0.78;

  private final long seed;
  private final int burstAccount;
  private final boolean loss;
  private final List<GatewayFixture> gateways = new ArrayList<>();
  private final Set<Integer> lostGateways = new HashSet<>();
  private final Map<String, Deque<Run>> queues = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final PriorityQueue<Run> ends =
      new PriorityQueue<>(Comparator.comparingLong(Run::endsAtMs).thenComparingLong(Run::call));
  private final List<Map<BackendId, Integer>> inFlight = new ArrayList<>();
  private final Map<Long, Integer> accountOfCall = new HashMap<>();
  private final Map<Long, Long> arrivedAtMs = new HashMap<>();
  private long nextCall = 1;

  final int[] offered = new int[ACCOUNTS];
  final int[] served = new int[ACCOUNTS];

  /** Refusals, with the time for which the call was held. */
  final List<Long> heldMs = new ArrayList<>();

  /** Times to return that refused callers were given, in milliseconds. */
  final List<Long> returnsMs = new ArrayList<>();

  private record Run(long call, int attempt, int gateway, BackendId engine, long endsAtMs) {
    Run endingAt(long value) {
      return new Run(call, attempt, gateway, engine, value);
    }
  }

  /**
   * Creates a simulation.
   *
   * @param burstAccount account that sends a burst, or -1
   * @param loss whether a fifth of the gateways and of the engines are lost during the burst
   */
  OverloadSimulation(long seed, int burstAccount, boolean loss) {
    this.seed = seed;
    this.burstAccount = burstAccount;
    this.loss = loss;
    ModelKey[] models = {ModelKey.of("m1"), ModelKey.of("m2")};
    EngineEntry[] engines = new EngineEntry[ENGINES];
    for (int i = 0; i < ENGINES; i++) {
      engines[i] = withSlots(GatewayFixture.entry("e" + i, "llm", 1, 0, models));
    }
    for (int i = 0; i < GATEWAYS; i++) {
      GatewayFixture gateway = new GatewayFixture();
      gateway.routes(1, accounts(), GatewayFixture.modelRoute("/chat/"));
      gateway.engines(engines);
      gateways.add(gateway);
      inFlight.add(new HashMap<>());
    }
  }

  private static EngineEntry withSlots(EngineEntry entry) {
    return new EngineEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.zone(),
        SLOTS,
        entry.draining(),
        entry.startedAtMs(),
        entry.ordersAccepted(),
        entry.held(),
        entry.copies());
  }

  /** Returns the usual rate of an account, in calls per second. */
  static double usualPerS(int account) {
    double total = (1 - Math.pow(SIZE_RATIO, ACCOUNTS)) / (1 - SIZE_RATIO);
    double capacityPerS = ENGINES * SLOTS * 1_000.0 / RUN_MS;
    return DEMAND * capacityPerS * Math.pow(SIZE_RATIO, account) / total;
  }

  private static KeyDigest key(int account) {
    return new KeyDigest(String.format("%064x", account));
  }

  private static AccountTable accounts() {
    List<AccountKeys> entries = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      double tokensPerS = 1.8 * 700 * usualPerS(i);
      Allowance allowance = new Allowance(tokensPerS, tokensPerS, AllowanceUnit.TOKENS, 700);
      entries.add(
          new AccountKeys(
              new ClientAccount("account-" + i, OptionalInt.empty(), allowance), List.of(key(i))));
    }
    return AccountTable.of(entries);
  }

  /** Runs until all calls that arrived during the burst have ended. */
  OverloadSimulation run() {
    for (long atMs = 0; atMs < BURST_TO_MS + 3_000; atMs += STEP_MS) {
      for (GatewayFixture gateway : gateways) {
        gateway.advance(STEP_MS);
      }
      if (loss && atMs == LOSS_AT_MS) {
        lose();
      }
      if (atMs % GatewayTick.INTERVAL_MS == 0) {
        exchangeDigests();
      }
      endRuns(atMs);
      arrivals(atMs);
      applyEffects(atMs);
    }
    return this;
  }

  private double uniform(long a, long b) {
    return (Rendezvous.weight(seed * 1_000_003 + a, b) >>> 11) / 0x1p53;
  }

  private void arrivals(long atMs) {
    for (int account = 0; account < ACCOUNTS; account++) {
      boolean burst = atMs >= BURST_FROM_MS && atMs < BURST_TO_MS && account == burstAccount;
      double perStep = usualPerS(account) * STEP_MS / 1_000;
      // The usual arrivals are the same with and without the burst.
      int calls = uniform(account, atMs) < perStep ? 1 : 0;
      double extra = burst ? perStep * (BURST_FACTOR - 1) : 0;
      calls += (int) (extra + uniform(account + 100, atMs));
      for (int i = 0; i < calls; i++) {
        arrive(account, atMs, i);
      }
    }
  }

  private void arrive(int account, long atMs, int index) {
    long id = nextCall++;
    int gateway = (int) (uniform(account * 10 + index + 1_000, atMs) * GATEWAYS);
    while (lostGateways.contains(gateway)) {
      gateway = (gateway + 1) % GATEWAYS;
    }
    if (atMs >= BURST_FROM_MS && atMs < BURST_TO_MS) {
      offered[account]++;
      accountOfCall.put(id, account);
    }
    arrivedAtMs.put(id, atMs);
    long tokens = 400 + (long) (uniform(id, 7) * 600);
    ModelKey model = ModelKey.of(uniform(id, 8) < 0.5 ? "m1" : "m2");
    long nowMs = gateways.get(gateway).nowMs();
    gateways
        .get(gateway)
        .reduce(
            new CallArrived(
                nowMs,
                new CallSpec(
                    id,
                    "c" + seed + "-" + id,
                    GatewayFixture.HOST,
                    "/chat/x",
                    Optional.of(10_000),
                    Optional.of(model),
                    100,
                    OptionalLong.of(tokens),
                    0,
                    List.of(),
                    id,
                    Credential.ofKey(key(account))),
                nowMs));
  }

  private void applyEffects(long atMs) {
    for (int i = 0; i < GATEWAYS; i++) {
      List<Effect> effects = gateways.get(i).take(Effect.class);
      if (lostGateways.contains(i)) {
        continue;
      }
      for (Effect effect : effects) {
        if (effect instanceof ForwardCall call) {
          inFlight.get(i).merge(call.engine(), 1, Integer::sum);
          Run run = new Run(call.call(), call.attempt(), i, call.engine(), Long.MAX_VALUE);
          queues.computeIfAbsent(call.engine().value(), key -> new ArrayDeque<>()).add(run);
          startRuns(call.engine(), atMs);
        } else if (effect instanceof ReplyToCall reply) {
          heldMs.add(atMs - arrivedAtMs.get(reply.call()));
          returnsMs.add(reply.retryAfterMs());
        }
      }
    }
  }

  private void startRuns(BackendId engine, long atMs) {
    Deque<Run> queue = queues.getOrDefault(engine.value(), new ArrayDeque<>());
    while (!queue.isEmpty() && running.getOrDefault(engine.value(), 0) < SLOTS) {
      running.merge(engine.value(), 1, Integer::sum);
      ends.add(queue.remove().endingAt(atMs + RUN_MS));
    }
  }

  private void endRuns(long atMs) {
    for (Run run : ends) {
      if (run.endsAtMs() - RUN_MS + FIRST_EVENT_MS == atMs) {
        GatewayFixture gateway = gateways.get(run.gateway());
        gateway.reduce(new ForwardStarted(gateway.nowMs(), run.call(), run.attempt()));
      }
    }
    while (!ends.isEmpty() && ends.peek().endsAtMs() <= atMs) {
      Run run = ends.remove();
      running.merge(run.engine().value(), -1, Integer::sum);
      end(run, ForwardResult.COMPLETED);
      startRuns(run.engine(), atMs);
    }
  }

  private void end(Run run, ForwardResult result) {
    inFlight.get(run.gateway()).merge(run.engine(), -1, Integer::sum);
    gateways.get(run.gateway()).endForward(run.call(), run.attempt(), result);
    Integer account = accountOfCall.get(run.call());
    boolean answered = !lostGateways.contains(run.gateway()) && result == ForwardResult.COMPLETED;
    if (answered && account != null) {
      served[account]++;
    }
  }

  /** Loses one gateway, one engine and all their calls. */
  private void lose() {
    lostGateways.add(0);
    inFlight.get(0).clear();
    List<BackendId> lost = List.of(new BackendId("e0"));
    List<Run> broken = ends.stream().filter(run -> lost.contains(run.engine())).toList();
    ends.removeAll(broken);
    lost.forEach(engine -> queues.getOrDefault(engine.value(), new ArrayDeque<>()).clear());
    for (GatewayFixture gateway : gateways) {
      gateway.engineList(List.of(), lost, false);
    }
    broken.forEach(run -> end(run, ForwardResult.CONNECTION_LOST));
  }

  private void exchangeDigests() {
    for (int from = 0; from < GATEWAYS; from++) {
      Map<BackendId, Integer> calls = inFlight.get(from);
      calls.values().removeIf(count -> count <= 0);
      for (int to = 0; to < GATEWAYS; to++) {
        if (from != to) {
          gateways.get(to).peerLoad("peer-" + from, HashTreePMap.from(calls));
        }
      }
    }
  }
}
