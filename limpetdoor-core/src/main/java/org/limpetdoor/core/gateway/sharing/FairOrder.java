package org.limpetdoor.core.gateway.sharing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Orders waiting calls by the use of their accounts relative to the accounts' claims. It answers
 * the load at which engines can't take what is asked and one account asks for many times its usual:
 * in the order of arrival, that account would get most of the places.
 *
 * <p>The order is that of start-time fair queueing (Goyal, Vin and Cheng, 1996). The start tag of a
 * call is the use of its account plus the cost of the account's calls before it, divided by the
 * claim. The use takes the place of the virtual time: it can be known for the whole fleet, and it
 * decays, so that an account owes nothing for long.
 *
 * @param use use of each account, as a rate per second in the unit of its claim
 * @param claims claims of the accounts
 * @param ledger recent decisions
 * @param nowMs current time, in monotonic milliseconds
 */
public record FairOrder(
    ToDoubleFunction<String> use, Claims claims, ShareLedger ledger, long nowMs) {
  /**
   * Share of the calls that is served, relative to that of all calls, below which an account goes
   * first. No account may be served less than a quarter as often as all; the rest covers the delay
   * of the average.
   */
  private static final double MIN_RELATIVE_SERVED_SHARE = 0.35;

  private static final double MS_PER_S = 1_000;

  /** Calls whose response has begun come first. */
  private static final Comparator<QueuedCall> BY_URGENCY =
      Comparator.comparing((QueuedCall call) -> !call.begun())
          .thenComparingInt(QueuedCall::priority);

  /** Within an account, short calls precede long ones that arrive at about the same time. */
  private static final Comparator<QueuedCall> WITHIN_ACCOUNT =
      BY_URGENCY.thenComparingDouble(QueuedCall::dueMs).thenComparingLong(QueuedCall::id);

  private static final Comparator<Ranked> BY_START_TAG =
      Comparator.comparing(Ranked::call, BY_URGENCY)
          .thenComparingDouble(Ranked::startTag)
          .thenComparing(Ranked::call, WITHIN_ACCOUNT);

  /**
   * A call with its place in the order.
   *
   * @param call the call
   * @param startTag use of its account before the call, relative to its claim; below 0 if the
   *     account must go first
   * @param length amount by which the call raises the use, relative to the claim
   */
  public record Ranked(QueuedCall call, double startTag, double length) {
    /** Returns the time until the use of the account has decayed to a level, in milliseconds. */
    double decaysInMs(double level) {
      return startTag <= level ? 0 : DecayingSum.PERIOD_MS * Math.log(startTag / level);
    }
  }

  /** Returns the calls in the order in which they are served. */
  public List<Ranked> sort(Collection<QueuedCall> calls) {
    List<QueuedCall> byAccount = new ArrayList<>(calls);
    byAccount.sort(WITHIN_ACCOUNT);
    Map<String, Double> finishTags = new HashMap<>();
    List<Ranked> ranked = new ArrayList<>();
    for (QueuedCall call : byAccount) {
      Double previous = finishTags.get(call.account());
      double length = length(call.account(), call.cost());
      double start = previous == null ? relativeUse(call.account(), length) : previous;
      finishTags.put(call.account(), start + length);
      ranked.add(new Ranked(call, previous == null ? firstTag(call, start) : start, length));
    }
    ranked.sort(BY_START_TAG);
    return ranked;
  }

  /**
   * Returns the use of an account relative to its claim, without the last call. Use is made of
   * whole calls, and one call of a small account is more than its part of some seconds.
   */
  private double relativeUse(String account, double length) {
    return Math.max(0, use.applyAsDouble(account) / claims.of(account) - length);
  }

  /** Returns the amount by which a call raises the use of its account, relative to the claim. */
  private double length(String account, double cost) {
    return cost * MS_PER_S / DecayingSum.PERIOD_MS / claims.of(account);
  }

  /** Returns the tag of the first call of an account, which is negative if it must go first. */
  private double firstTag(QueuedCall call, double start) {
    double served = ledger.relativeServedShare(call.account(), nowMs);
    return served < MIN_RELATIVE_SERVED_SHARE ? served - 1 : start;
  }

  /**
   * Returns whether an account has used more than its part while capacity is insufficient, so that
   * it leaves the last place of an engine to others. A place is known at once only to the instance
   * whose call has ended; without the reserve (trunk reservation), that instance gives it to an
   * account above its part while calls of others wait elsewhere.
   */
  public boolean leavesReserve(String account, double cost) {
    return ledger.level() < FairLevel.UNBOUNDED
        && relativeUse(account, length(account, cost)) > ledger.level();
  }
}
