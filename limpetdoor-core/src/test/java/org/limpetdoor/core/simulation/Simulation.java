package org.limpetdoor.core.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.limpetdoor.core.agreed.AppendFailure;
import org.limpetdoor.core.agreed.Fleet;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.event.AppendAnswered;
import org.limpetdoor.core.event.AppendFailed;
import org.limpetdoor.core.event.InventoryReported;
import org.limpetdoor.core.event.OrderAnswered;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.placement.OrderAnswer;

/**
 * Simulation of several reducers, a log and engines on virtual time, with random faults from a
 * seed.
 */
final class Simulation {
  private static final long READ_INTERVAL_MS = 200;
  private static final int READ_RECORDS = 20;
  private static final int TRACE_LINES = 400;

  final Random random;
  final FakeLog log = new FakeLog();
  final Map<BackendId, FakeEngine> engines = new TreeMap<>();
  final List<SimulatedNode> nodes = new ArrayList<>();
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparingLong(Step::atMs).thenComparingLong(Step::number));
  private final Map<BackendId, Long> executedEpochs = new HashMap<>();
  private final List<String> trace = new ArrayList<>();
  private long nowMs;
  private long scheduled;

  /** Whether messages are lost, duplicated and delayed for long. */
  boolean faulty = true;

  private record Step(long atMs, long number, Runnable action) {}

  Simulation(long seed, List<Engine> fleet) {
    random = new Random(seed);
    fleet.forEach(engine -> engines.put(engine.id(), new FakeEngine(engine)));
  }

  long nowMs() {
    return nowMs;
  }

  void at(long atMs, Runnable action) {
    steps.add(new Step(Math.max(atMs, nowMs), scheduled++, action));
  }

  /** Runs the next step. Returns false if no step is due by the given time. */
  boolean step(long untilMs) {
    if (steps.isEmpty() || steps.peek().atMs() > untilMs) {
      nowMs = untilMs;
      return false;
    }
    Step next = steps.poll();
    nowMs = next.atMs();
    next.action().run();
    return true;
  }

  SimulatedNode startNode(InstanceId id, long incarnation) {
    SimulatedNode node = new SimulatedNode(this, id, incarnation, random.nextInt(1_000_000));
    nodes.add(node);
    node.start();
    at(nowMs, () -> readLog(node, 0));
    return node;
  }

  boolean chance(int percent) {
    return faulty && random.nextInt(100) < percent;
  }

  void recordTrace(String line) {
    trace.add(nowMs + " " + line);
    if (trace.size() > TRACE_LINES) {
      trace.remove(0);
    }
  }

  String trace() {
    return String.join("\n", trace);
  }

  void execute(SimulatedNode node, Effect effect) {
    if (effect instanceof AppendRecord append) {
      at(nowMs + random.nextInt(50), () -> append(node, append));
    } else if (effect instanceof SendOrder order) {
      send(node, order);
    } else if (effect instanceof RequestInventory request && !chance(20)) {
      at(nowMs + delayMs(), () -> inventory(node, request));
    }
  }

  private void readLog(SimulatedNode node, long from) {
    if (node.crashed) {
      return;
    }
    boolean down = nowMs < log.downUntilMs || !node.running();
    List<StoredRecord> records = down ? List.of() : List.copyOf(log.read(from, READ_RECORDS));
    if (!down) {
      boolean complete = records.size() < READ_RECORDS;
      long completeAtMs = complete ? node.localMs(nowMs) : LogReader.NEVER;
      at(
          nowMs + random.nextInt(30),
          () -> node.deliver(t -> new RecordsRead(t, records, completeAtMs)));
    }
    at(nowMs + READ_INTERVAL_MS, () -> readLog(node, from + records.size()));
  }

  private void append(SimulatedNode node, AppendRecord append) {
    if (nowMs < log.downUntilMs) {
      deliverFailure(node, append, AppendFailure.NOT_TAKEN);
      return;
    }
    if (chance(5)) {
      deliverFailure(node, append, AppendFailure.OUTCOME_UNKNOWN);
      return;
    }
    long offset = log.append(append.envelope());
    recordTrace(offset + " " + append.envelope());
    if (chance(5)) {
      at(nowMs + random.nextInt(5_000), () -> log.append(append.envelope()));
    }
    if (chance(10)) {
      deliverFailure(node, append, AppendFailure.OUTCOME_UNKNOWN);
      return;
    }
    at(
        nowMs + random.nextInt(50),
        () -> node.deliver(t -> new AppendAnswered(t, append.envelope().id(), offset)));
  }

  private void deliverFailure(SimulatedNode node, AppendRecord append, AppendFailure failure) {
    at(nowMs + 300, () -> node.deliver(t -> new AppendFailed(t, append.envelope().id(), failure)));
  }

  /** Sends an order, possibly late. An order is sent within its send window or not at all. */
  private void send(SimulatedNode node, SendOrder order) {
    long sendDelayMs = chance(10) ? random.nextInt(6_000) : 0;
    if (chance(15) || sendDelayMs > order.sendWithinMs()) {
      deliverAnswer(node, order, OrderAnswer.UNKNOWN, 3_000);
      return;
    }
    if (chance(25)) {
      deliverAnswer(node, order, OrderAnswer.UNKNOWN, sendDelayMs + 100);
    }
    at(nowMs + sendDelayMs + delayMs(), () -> deliverOrder(node, order));
    if (chance(30)) {
      at(nowMs + sendDelayMs + delayMs(), () -> deliverOrder(node, order));
    }
  }

  private void deliverOrder(SimulatedNode node, SendOrder order) {
    FakeEngine engine = engines.get(order.engine());
    OrderAnswer answer = engine.receive(order, nowMs, random.nextInt(2_000));
    recordTrace("engine " + order + " " + answer);
    if (answer == OrderAnswer.DONE && order.model().isPresent()) {
      checkFencing(engine, log.epochOf(order.orderId()));
    }
    deliverAnswer(node, order, chance(15) ? OrderAnswer.UNKNOWN : answer, random.nextInt(2_000));
  }

  private void checkFencing(FakeEngine engine, long epoch) {
    Long previous = executedEpochs.put(engine.configured.id(), epoch);
    boolean older = previous != null && epoch < previous;
    if (older && !engine.configured.fencing().acceptsLateOrders()) {
      throw new AssertionError("order of epoch " + epoch + " acted after epoch " + previous);
    }
  }

  private void deliverAnswer(
      SimulatedNode node, SendOrder order, OrderAnswer answer, long delayMs) {
    at(nowMs + delayMs, () -> node.deliver(t -> new OrderAnswered(t, order.orderId(), answer)));
  }

  private void inventory(SimulatedNode node, RequestInventory request) {
    var held = engines.get(request.engine()).inventory(nowMs);
    at(
        nowMs + delayMs(),
        () -> node.deliver(t -> new InventoryReported(t, request.engine(), request.query(), held)));
  }

  private long delayMs() {
    boolean delayed = faulty && random.nextInt(3) == 0;
    return delayed ? random.nextInt((int) Fleet.MAX_ORDER_DELAY_MS) : random.nextInt(20);
  }
}
