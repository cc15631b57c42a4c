package org.limpetdoor.core.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.FailureCause;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.gateway.sharing.Claims;
import org.limpetdoor.core.gateway.sharing.FairOrder;
import org.limpetdoor.core.gateway.sharing.FairOrder.Ranked;
import org.limpetdoor.core.gateway.sharing.PlaceForecast;
import org.limpetdoor.core.gateway.sharing.QueuedCall;
import org.limpetdoor.core.gateway.sharing.ReturnTime;
import org.limpetdoor.core.gateway.sharing.ShareLedger;
import org.limpetdoor.core.gateway.sharing.WaitingRoom;
import org.limpetdoor.core.gateway.sharing.WaitingRoom.Competitor;
import org.limpetdoor.core.gateway.sharing.WaitingRoom.Refusal;

/**
 * Applies the sharing of insufficient capacity among accounts to calls. Without accounts in the
 * configuration, nothing here takes effect.
 */
final class CapacitySharing {
  /** Name that callers without an account share. */
  private static final String ANONYMOUS = "anonymous";

  /** Part of the target latency for which a call may wait and then give way to another. */
  private static final int GIVE_WAY_DIVISOR = 8;

  private CapacitySharing() {}

  static boolean inUse(NodeState node) {
    return node.gateway().table().filter(table -> table.accounts().inUse()).isPresent();
  }

  /**
   * Returns the use of each account, as a rate per second in the unit of its claim. It is counted
   * by this instance alone.
   */
  private static ToDoubleFunction<String> use(NodeState node) {
    ShareLedger ledger = node.gateway().callTable().shares();
    return account -> ledger.costPerS(account, node.nowMs());
  }

  /** Returns calls in the order in which they are served. */
  static List<Call> order(NodeState node, List<Call> calls) {
    if (calls.size() < 2) {
      return calls;
    }
    return fairOrder(node).sort(queued(node, calls)).stream()
        .map(rank -> node.gateway().calls().get(rank.call().id()))
        .toList();
  }

  private static FairOrder fairOrder(NodeState node) {
    ShareLedger ledger = node.gateway().callTable().shares();
    return new FairOrder(use(node), claims(node), ledger, node.nowMs());
  }

  /** Computes up to which use accounts are served at present. */
  static NodeState updateLevel(NodeState node) {
    return update(node, ledger -> ledger.withLevel(claims(node), node.nowMs()));
  }

  /** Returns whether a call must leave the last place of each engine to calls of others. */
  static boolean leavesReserve(NodeState node, Call call) {
    return inUse(node)
        && !call.mayHaveRun()
        && !call.delivered()
        && fairOrder(node).leavesReserve(account(call), cost(call));
  }

  private static Claims claims(NodeState node) {
    return Claims.of(node.gateway().table().orElseThrow().accounts());
  }

  private static List<QueuedCall> queued(NodeState node, List<Call> calls) {
    return calls.stream().map(call -> queuedCall(node, call)).toList();
  }

  private static QueuedCall queuedCall(NodeState node, Call call) {
    return new QueuedCall(
        call.spec().id(),
        account(call),
        call.delivered(),
        call.priority(),
        neverSent(call) ? cost(call) : 0,
        tokens(call),
        call.arrivedAtMs());
  }

  /**
   * Refuses a call that can't be started in time after it was queued, or the one that gives way to
   * it.
   */
  static Transition<NodeState, Effect> admit(NodeState node, Call newCall) {
    if (!inUse(node) || !node.gateway().waiting().contains(newCall.spec().id())) {
      return Transition.of(node);
    }
    PlaceSupply supply = PlaceSupply.of(node, newCall);
    FairOrder order = fairOrder(node);
    List<Competitor> competitors =
        order.sort(queued(node, supply.competitors())).stream()
            .map(rank -> competitor(node, rank, supply))
            .toList();
    Optional<Refusal> refusal =
        new WaitingRoom(supply.forecast(), node.gateway().callTable().shares().level())
            .refused(competitors, newCall.spec().id());
    return refusal
        .map(found -> refuse(node, node.gateway().calls().get(found.id()), found))
        .orElse(Transition.of(node));
  }

  private static Competitor competitor(NodeState node, Ranked rank, PlaceSupply supply) {
    Call call = node.gateway().calls().get(rank.call().id());
    long waitedMs = node.nowMs() - call.arrivedAtMs();
    boolean mayGiveWay =
        neverSent(call) && waitedMs * GIVE_WAY_DIVISOR <= call.route().targetLatencyMs();
    return new Competitor(
        rank, supply.weight(call), call.waitDeadlineMs() - node.nowMs(), mayGiveWay);
  }

  private static Transition<NodeState, Effect> refuse(NodeState node, Call call, Refusal refusal) {
    long afterMs = returnAfterMs(node, call, refusal.startsInMs());
    return CallSteps.fail(node, call, Reply.ENGINES_FULL, afterMs, refusal.cause());
  }

  /**
   * Returns the time after which the caller of a call that waited in vain should return, in
   * milliseconds.
   */
  static long returnAfterMs(NodeState node, Call call) {
    if (!inUse(node)) {
      return CallSteps.RETRY_AFTER_FULL_MS;
    }
    PlaceSupply supply = PlaceSupply.of(node, call);
    PlaceForecast forecast = supply.forecast();
    double waiting = supply.competitors().stream().mapToDouble(supply::weight).sum();
    boolean known = forecast.placesPerS() > 0;
    long startsInMs = known ? (long) forecast.startsInMs(waiting) : CallSteps.RETRY_AFTER_FULL_MS;
    return returnAfterMs(node, call, startsInMs);
  }

  private static long returnAfterMs(NodeState node, Call call, long startsInMs) {
    long timeLeftMs = call.deadlineMs() - node.nowMs();
    return ReturnTime.afterMs(startsInMs, timeLeftMs, call.spec().callerAttemptId());
  }

  /** Records that a call has arrived. */
  static NodeState recordArrival(NodeState node, Call call) {
    return update(node, ledger -> ledger.withOffered(account(call), cost(call), node.nowMs()));
  }

  /** Records that a call is sent to its first engine. */
  static NodeState recordSent(NodeState node, Call call) {
    return neverSent(call)
        ? update(node, ledger -> ledger.withSent(account(call), cost(call), node.nowMs()))
        : node;
  }

  /** Records that a call fails, if it was never sent and engines were full. */
  static NodeState recordFailed(NodeState node, Call call, FailureCause cause) {
    return neverSent(call) && cause.lacksCapacity()
        ? update(node, ledger -> ledger.withRefused(account(call), node.nowMs()))
        : node;
  }

  /** Records that an engine has completed a call. */
  static NodeState recordCompleted(NodeState node, Call.Attempt attempt) {
    long tookMs = node.nowMs() - attempt.sentAtMs();
    return update(node, ledger -> ledger.withCompleted(attempt.engine(), tookMs, node.nowMs()));
  }

  private static NodeState update(NodeState node, UnaryOperator<ShareLedger> change) {
    if (!inUse(node)) {
      return node;
    }
    CallTable calls = node.gateway().callTable();
    return node.withGateway(
        node.gateway().withCallTable(calls.withShares(change.apply(calls.shares()))));
  }

  private static boolean neverSent(Call call) {
    return call.triedEngines().isEmpty();
  }

  private static String account(Call call) {
    return call.account().map(ClientAccount::name).orElse(ANONYMOUS);
  }

  /** Returns the cost of a call in the unit of its account's claim; tokens without a limit. */
  private static double cost(Call call) {
    return call.account()
        .map(ClientAccount::allowance)
        .filter(Allowance::limited)
        .map(allowance -> allowance.cost(call.spec().statedTokens()))
        .orElse((double) tokens(call));
  }

  private static long tokens(Call call) {
    return call.spec().statedTokens().orElse(call.spec().promptTokens());
  }
}
