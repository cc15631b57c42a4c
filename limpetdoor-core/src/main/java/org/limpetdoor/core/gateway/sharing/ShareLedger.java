package org.limpetdoor.core.gateway.sharing;

import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Recent observations of an instance that the sharing of capacity depends on. Nothing is recorded
 * where no accounts are configured.
 *
 * @param accounts what was decided about the calls of each account
 * @param total what was decided about the calls of all accounts
 * @param completions calls of this instance that each engine has completed
 * @param completed calls of this instance that all engines have completed
 * @param runMs run times of these calls, in milliseconds
 * @param level use relative to the claim up to which accounts are served, as last computed;
 *     infinite while capacity is sufficient
 */
public record ShareLedger(
    PMap<String, AccountShare> accounts,
    AccountShare total,
    PMap<BackendId, DecayingSum> completions,
    DecayingSum completed,
    DecayingSum runMs,
    double level) {
  /** Ledger of an instance that has just started. */
  public static final ShareLedger EMPTY =
      new ShareLedger(
          HashTreePMap.empty(),
          AccountShare.NONE,
          HashTreePMap.empty(),
          DecayingSum.ZERO,
          DecayingSum.ZERO,
          FairLevel.UNBOUNDED);

  /** Records that a call has arrived. */
  public ShareLedger withOffered(String account, double cost, long nowMs) {
    return new ShareLedger(
        accounts.plus(account, share(account).withOffered(cost, nowMs)),
        total.withOffered(cost, nowMs),
        completions,
        completed,
        runMs,
        level);
  }

  /** Records that a call was sent to its first engine. */
  public ShareLedger withSent(String account, double cost, long nowMs) {
    return new ShareLedger(
        accounts.plus(account, share(account).withSent(cost, nowMs)),
        total.withSent(cost, nowMs),
        completions,
        completed,
        runMs,
        level);
  }

  /** Returns a copy with the level of the present demand. */
  public ShareLedger withLevel(Claims claims, long nowMs) {
    double next = FairLevel.of(this, claims, nowMs);
    return new ShareLedger(accounts, total, completions, completed, runMs, next);
  }

  /** Records that a call was refused for lack of capacity. */
  public ShareLedger withRefused(String account, long nowMs) {
    return new ShareLedger(
        accounts.plus(account, share(account).withRefused(nowMs)),
        total.withRefused(nowMs),
        completions,
        completed,
        runMs,
        level);
  }

  /** Records that an engine has completed a call, so that its place is free. */
  public ShareLedger withCompleted(BackendId engine, long tookMs, long nowMs) {
    DecayingSum ofEngine = completions.getOrDefault(engine, DecayingSum.ZERO);
    return new ShareLedger(
        accounts,
        total,
        completions.plus(engine, ofEngine.plus(1, nowMs)),
        completed.plus(1, nowMs),
        runMs.plus(tookMs, nowMs),
        level);
  }

  /**
   * Returns the average rate of the cost of an account's calls that this instance sent, per second.
   */
  public double costPerS(String account, long nowMs) {
    return share(account).cost().perS(nowMs);
  }

  /**
   * Returns the share of an account's calls that were sent, relative to that of all calls; 1 if
   * they are equal.
   */
  double relativeServedShare(String account, long nowMs) {
    double all = total.servedShare(nowMs);
    return all == 0 ? 1 : share(account).servedShare(nowMs) / all;
  }

  /** Returns the average rate at which an engine completes calls of this instance, per second. */
  public double completionsPerS(BackendId engine, long nowMs) {
    return completions.getOrDefault(engine, DecayingSum.ZERO).perS(nowMs);
  }

  /** Returns the mean run time of the completed calls, in milliseconds; 0 if there were none. */
  public double meanRunMs() {
    return completed.value() == 0 ? 0 : runMs.value() / completed.value();
  }

  private AccountShare share(String account) {
    return accounts.getOrDefault(account, AccountShare.NONE);
  }
}
