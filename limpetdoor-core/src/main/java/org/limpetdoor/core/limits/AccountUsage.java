package org.limpetdoor.core.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.id.InstanceId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Use of the accounts that have a limit, by this instance and, from recent digests, by the others.
 * The sums over the digests are kept up to date by differences, so that the admission of a call
 * does not depend on the number of peers.
 *
 * @param meters use of each account with a limit
 * @param reports last report of each peer
 * @param listed number of listed instances, including this one; 0 if the list is unknown
 * @param covered number of other instances that the reports cover
 * @param checkAtMs time from which a report may be outdated, in monotonic milliseconds
 */
public record AccountUsage(
    PMap<String, AccountMeter> meters,
    PMap<InstanceId, ReceivedReport> reports,
    int listed,
    int covered,
    long checkAtMs) {
  /** Use as known to a process that has just started. */
  public static final AccountUsage NONE =
      new AccountUsage(HashTreePMap.empty(), HashTreePMap.empty(), 0, 0, Long.MAX_VALUE);

  /**
   * Number of instances that is assumed while the list is unknown. A small number would let each
   * instance of a large fleet admit too much before it has read the list.
   */
  private static final int UNLISTED_INSTANCES = 64;

  /** Part of its allowance by which the offered rate of an account moves before an early report. */
  private static final double EARLY_REPORT_PART = 0.125;

  /**
   * A report and the time from which it is outdated.
   *
   * @param report the report
   * @param recentUntilMs time from which it does not count, in monotonic milliseconds
   */
  public record ReceivedReport(UseReport report, long recentUntilMs) {}

  /** Returns the part of the listed instances whose use is known, from 1/n to 1. */
  public double coverage() {
    int instances = listed == 0 ? UNLISTED_INSTANCES : listed;
    return Math.min(1, (1.0 + covered) / instances);
  }

  /**
   * Returns the cost per second that all instances admit for an account: that of this instance, and
   * that of the others by their recent digests. It is 0 for an account without a limit, whose use
   * is not counted.
   */
  public double admittedPerS(String account, long nowMs) {
    return rates(account, nowMs).admittedPerS();
  }

  /** Returns the use of an account by all instances. */
  AccountRates rates(String account, long nowMs) {
    AccountUsage current = withoutOutdated(nowMs);
    AccountMeter meter = current.meters.get(account);
    return meter == null ? AccountRates.NONE : meter.at(nowMs, current.coverage()).fleet();
  }

  /** Returns the use by this instance, for a digest. */
  public UseReport ownReport(long nowMs) {
    if (meters.isEmpty()) {
      return UseReport.NONE;
    }
    Map<String, AccountRates> rates = new HashMap<>();
    for (Map.Entry<String, AccountMeter> entry : meters.entrySet()) {
      AccountMeter meter = entry.getValue().at(nowMs, coverage());
      if (meter.isInUse()) {
        rates.put(entry.getKey(), meter.own());
      }
    }
    return new UseReport(1, HashTreePMap.from(rates));
  }

  /**
   * Result of the admission of a call.
   *
   * @param usage use after it
   * @param verdict whether the call is admitted, and why
   */
  public record Admission(AccountUsage usage, AllowanceVerdict verdict) {}

  /**
   * Counts a call of an account with a limit, and decides whether it is admitted.
   *
   * @param draw number that is spread evenly over calls, from 0 to 1
   */
  public Admission admit(ClientAccount account, double cost, double draw, long nowMs) {
    AccountUsage current = withoutOutdated(nowMs);
    double coverage = current.coverage();
    AccountMeter offered = current.meter(account, nowMs).at(nowMs, coverage).withOffered(cost);
    AllowanceVerdict verdict = new AllowanceAdmission(offered, coverage).decide(draw, cost);
    AccountMeter counted = verdict.reason().admits() ? offered.withAdmitted(cost) : offered;
    return new Admission(current.withMeter(account.name(), counted), verdict);
  }

  /** Returns whether an offered rate has moved far enough since a report to send another early. */
  public boolean hasMoved(UseReport previous, UseReport next) {
    return meters.entrySet().stream()
        .anyMatch(
            entry -> {
              double before = previous.of(entry.getKey()).offeredPerS();
              double after = next.of(entry.getKey()).offeredPerS();
              double rate = entry.getValue().allowance().ratePerS();
              return Math.abs(after - before) >= rate * EARLY_REPORT_PART;
            });
  }

  /** Gives the cost of a call back that was admitted and has not run. */
  public AccountUsage givenBack(String account, double cost, long nowMs) {
    AccountMeter meter = meters.get(account);
    return meter == null
        ? this
        : withMeter(account, meter.at(nowMs, coverage()).withGivenBack(cost));
  }

  /** Adapts the meters to the accounts of a configuration. */
  public AccountUsage withAccounts(AccountTable accounts, long nowMs) {
    AccountUsage current = withoutOutdated(nowMs);
    PMap<String, AccountMeter> next = HashTreePMap.empty();
    for (ClientAccount account : accounts.all()) {
      if (account.allowance().limited()) {
        AccountMeter known = current.meter(account, nowMs).at(nowMs, current.coverage());
        next = next.plus(account.name(), known.withAllowance(account.allowance(), nowMs));
      }
    }
    return current.withMeters(next);
  }

  /** Returns a copy for a number of listed instances. */
  public AccountUsage withListed(int value, long nowMs) {
    if (value == listed) {
      return this;
    }
    PMap<String, AccountMeter> next = meters;
    for (Map.Entry<String, AccountMeter> entry : meters.entrySet()) {
      next = next.plus(entry.getKey(), entry.getValue().at(nowMs, coverage()));
    }
    return new AccountUsage(next, reports, value, covered, checkAtMs);
  }

  /** Records the report of a peer. */
  public AccountUsage withReport(InstanceId peer, ReceivedReport received, long nowMs) {
    AccountUsage replaced = withReplaced(peer, received.report(), nowMs);
    return new AccountUsage(
        replaced.meters,
        replaced.reports.plus(peer, received),
        listed,
        replaced.covered,
        Math.min(checkAtMs, received.recentUntilMs()));
  }

  /** Drops the report of a peer. */
  public AccountUsage withoutReport(InstanceId peer, long nowMs) {
    if (!reports.containsKey(peer)) {
      return this;
    }
    AccountUsage replaced = withReplaced(peer, UseReport.NONE, nowMs);
    return new AccountUsage(
        replaced.meters, replaced.reports.minus(peer), listed, replaced.covered, checkAtMs);
  }

  /**
   * Drops the reports that are outdated. It is called at each use, because an instance that was
   * frozen handles calls before its next tick.
   */
  public AccountUsage withoutOutdated(long nowMs) {
    if (nowMs < checkAtMs) {
      return this;
    }
    AccountUsage result = this;
    long nextCheckAtMs = Long.MAX_VALUE;
    for (Map.Entry<InstanceId, ReceivedReport> entry : reports.entrySet()) {
      long untilMs = entry.getValue().recentUntilMs();
      if (untilMs <= nowMs) {
        result = result.withoutReport(entry.getKey(), nowMs);
      } else {
        nextCheckAtMs = Math.min(nextCheckAtMs, untilMs);
      }
    }
    return new AccountUsage(result.meters, result.reports, listed, result.covered, nextCheckAtMs);
  }

  AccountUsage withMeter(String account, AccountMeter meter) {
    return withMeters(meters.plus(account, meter));
  }

  private AccountUsage withMeters(PMap<String, AccountMeter> value) {
    return new AccountUsage(value, reports, listed, covered, checkAtMs);
  }

  /** Returns a copy whose sums contain another report of a peer. */
  private AccountUsage withReplaced(InstanceId peer, UseReport next, long nowMs) {
    ReceivedReport last = reports.get(peer);
    UseReport previous = last == null ? UseReport.NONE : last.report();
    Set<String> changed = new HashSet<>(previous.byAccount().keySet());
    changed.addAll(next.byAccount().keySet());
    PMap<String, AccountMeter> result = meters;
    for (String account : changed) {
      AccountMeter meter = result.get(account);
      if (meter != null) {
        AccountMeter current = meter.at(nowMs, coverage());
        AccountRates sum = current.peers().minus(previous.of(account)).plus(next.of(account));
        result = result.plus(account, current.withPeers(sum));
      }
    }
    int nextCovered = covered - previous.instances() + next.instances();
    return new AccountUsage(result, reports, listed, nextCovered, checkAtMs);
  }

  private AccountMeter meter(ClientAccount account, long nowMs) {
    AccountMeter known = meters.get(account.name());
    return known == null ? started(account, nowMs) : known;
  }

  private AccountMeter started(ClientAccount account, long nowMs) {
    return AccountMeter.started(account.allowance(), nowMs).withPeers(reported(account.name()));
  }

  private AccountRates reported(String account) {
    AccountRates sum = AccountRates.NONE;
    for (ReceivedReport received : reports.values()) {
      sum = sum.plus(received.report().of(account));
    }
    return sum;
  }
}
