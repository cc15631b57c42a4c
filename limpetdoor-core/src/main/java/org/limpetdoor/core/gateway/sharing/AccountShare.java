package org.limpetdoor.core.gateway.sharing;

/**
 * What an instance has recently seen and decided about the calls of an account.
 *
 * @param offered number of calls that arrived
 * @param offeredCost cost of these calls, in the unit of the account's claim
 * @param sent number of calls that were sent to engines
 * @param cost cost of these calls
 * @param refused number of calls that were refused for lack of capacity
 */
record AccountShare(
    DecayingSum offered,
    DecayingSum offeredCost,
    DecayingSum sent,
    DecayingSum cost,
    DecayingSum refused) {
  static final AccountShare NONE =
      new AccountShare(
          DecayingSum.ZERO, DecayingSum.ZERO, DecayingSum.ZERO, DecayingSum.ZERO, DecayingSum.ZERO);

  AccountShare withOffered(double callCost, long nowMs) {
    return new AccountShare(
        offered.plus(1, nowMs), offeredCost.plus(callCost, nowMs), sent, cost, refused);
  }

  AccountShare withSent(double callCost, long nowMs) {
    return new AccountShare(
        offered, offeredCost, sent.plus(1, nowMs), cost.plus(callCost, nowMs), refused);
  }

  AccountShare withRefused(long nowMs) {
    return new AccountShare(offered, offeredCost, sent, cost, refused.plus(1, nowMs));
  }

  /** Returns the mean cost of the calls that arrived; 0 if there were none. */
  double meanCost(long nowMs) {
    double calls = offered.at(nowMs);
    return calls == 0 ? 0 : offeredCost.at(nowMs) / calls;
  }

  /** Returns the share of the calls that were sent, from 0 to 1; 1 if there were none. */
  double servedShare(long nowMs) {
    double sentCalls = sent.at(nowMs);
    double calls = sentCalls + refused.at(nowMs);
    return calls == 0 ? 1 : sentCalls / calls;
  }
}
