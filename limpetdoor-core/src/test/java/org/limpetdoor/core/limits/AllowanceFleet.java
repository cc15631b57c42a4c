package org.limpetdoor.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.AllowanceUnit;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.limits.AccountUsage.Admission;
import org.limpetdoor.core.limits.AccountUsage.ReceivedReport;

/**
 * The admission of one account at all instances of a fleet, on virtual time. Reports travel between
 * all instances and arrive 0.25 to 1.5 s late.
 */
final class AllowanceFleet {
  static final int SIZE = 62;
  private static final long STEP_MS = 10;
  private static final long REPORT_INTERVAL_MS = 500;
  private static final long RECENT_MS = 1_500;
  private static final long SPAN_MS = 8_000;
  private static final String NAME = "acme";

  private final Random random;
  private final List<Instance> instances = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final PriorityQueue<Message> messages =
      new PriorityQueue<>(Comparator.comparingLong(Message::atMs));
  private ClientAccount account;
  private long nowMs = 1_000;
  private long countedFromMs;
  private double refused;

  private record Run(long sentAtMs, long ranAtMs, double cost) {}

  private record Message(long atMs, long sentAtMs, Instance from, Instance to, UseReport report) {}

  private record Call(long sentAtMs, double cost) {}

  static final class Instance {
    final InstanceId id;
    AccountUsage usage = AccountUsage.NONE;
    boolean cut;
    boolean frozen;
    final List<Call> queued = new ArrayList<>();

    Instance(int number) {
      id = new InstanceId("node-" + number);
    }
  }

  AllowanceFleet(double ratePerS, long seed) {
    random = new Random(seed);
    for (int i = 0; i < SIZE; i++) {
      instances.add(new Instance(i));
    }
    limit(ratePerS);
  }

  Instance instance(int index) {
    return instances.get(index);
  }

  void limit(double ratePerS) {
    account =
        new ClientAccount(
            NAME,
            OptionalInt.empty(),
            new Allowance(ratePerS, ratePerS, AllowanceUnit.TOKENS, 200));
    instances.forEach(this::configure);
  }

  void configure(Instance instance) {
    AccountTable table = AccountTable.of(List.of(new AccountTable.AccountKeys(account, List.of())));
    instance.usage = instance.usage.withAccounts(table, nowMs).withListed(instances.size(), nowMs);
  }

  void restart(Instance instance) {
    instance.usage = AccountUsage.NONE;
    configure(instance);
  }

  void add() {
    instances.add(new Instance(instances.size()));
    instances.forEach(this::configure);
  }

  void resetCounts() {
    refused = 0;
  }

  /** Begins the spans that are checked at the present time. */
  void resetRuns() {
    countedFromMs = nowMs;
  }

  /** Returns the cost per second that was admitted since then. */
  double admittedPerS() {
    double sum =
        runs.stream().filter(run -> run.ranAtMs() > countedFromMs).mapToDouble(Run::cost).sum();
    return sum * 1_000 / (nowMs - countedFromMs);
  }

  double refused() {
    return refused;
  }

  void run(long ms, double offeredPerS, IntUnaryOperator balancer) {
    long untilMs = nowMs + ms;
    while (nowMs < untilMs) {
      nowMs += STEP_MS;
      deliver();
      if (nowMs % REPORT_INTERVAL_MS == 0) {
        instances.forEach(this::report);
      }
      double due = offeredPerS * STEP_MS / 1_000 / 700;
      for (double left = next(); left < due; left += next()) {
        int index = balancer.applyAsInt(random.nextInt(instances.size()));
        arrive(instances.get(index), 400 + random.nextInt(600));
      }
    }
  }

  private double next() {
    return -Math.log(1 - random.nextDouble());
  }

  private void arrive(Instance instance, double cost) {
    Call call = new Call(nowMs, cost);
    if (instance.frozen) {
      instance.queued.add(call);
    } else {
      handle(instance, call);
    }
  }

  void wake(Instance instance) {
    instance.frozen = false;
    instance.queued.forEach(call -> handle(instance, call));
    instance.queued.clear();
  }

  private void handle(Instance instance, Call call) {
    Admission admission = instance.usage.admit(account, call.cost(), random.nextDouble(), nowMs);
    instance.usage = admission.usage();
    if (admission.verdict().reason().admits()) {
      runs.add(new Run(call.sentAtMs(), nowMs, call.cost()));
    } else {
      refused += call.cost();
    }
  }

  private void report(Instance from) {
    if (from.frozen) {
      return;
    }
    UseReport report = from.usage.ownReport(nowMs);
    for (Instance to : instances) {
      if (to != from && !from.cut && !to.cut) {
        long baseMs =
            250 + Math.floorMod((from.id.value() + to.id.value()).hashCode() * 7919, 1_000);
        messages.add(new Message(nowMs + baseMs + random.nextInt(250), nowMs, from, to, report));
      }
    }
  }

  private void deliver() {
    while (!messages.isEmpty() && messages.peek().atMs() <= nowMs) {
      Message message = messages.poll();
      Instance to = message.to();
      if (!to.frozen && !to.cut) {
        to.usage =
            to.usage.withReport(
                message.from().id, new ReceivedReport(message.report(), nowMs + RECENT_MS), nowMs);
      }
    }
  }

  /** Returns the largest use in a span, as a multiple of the bound. */
  double worstSpan() {
    double bound = (account.allowance().ratePerS() * 8 + account.allowance().burst()) * 1.1 + 7_500;
    double worst = 0;
    for (long fromMs = countedFromMs; fromMs + SPAN_MS <= nowMs; fromMs += 100) {
      double sum = 0;
      for (Run run : runs) {
        boolean inSpan = run.sentAtMs() >= fromMs && run.ranAtMs() < fromMs + SPAN_MS;
        sum += inSpan ? run.cost() : 0;
      }
      worst = Math.max(worst, sum / bound);
    }
    return worst;
  }
}
