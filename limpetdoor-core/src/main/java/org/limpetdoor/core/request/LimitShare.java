package org.limpetdoor.core.request;

import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.CustomerId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The share of each limit that this instance may use.
 *
 * @param byCustomer share of the contract limits of each customer, from 0 to 1
 * @param otherwise share of all other contracts and of platform limits, from 0 to 1
 */
public record LimitShare(PMap<CustomerId, Double> byCustomer, double otherwise) {
  /** The share of an instance that has no peers. */
  public static final LimitShare WHOLE = new LimitShare(HashTreePMap.empty(), 1.0);

  private static final double MIN_SHARE = 1e-6;

  /** Checks ranges. */
  public LimitShare {
    byCustomer.values().forEach(share -> Ranges.within("byCustomer", share, 0, 1));
    Ranges.within("otherwise", otherwise, 0, 1);
  }

  /** Returns the share of a customer's contract limits. */
  public double of(CustomerId customer) {
    return byCustomer.getOrDefault(customer, otherwise);
  }

  ArrivalLimit of(CustomerId customer, ArrivalLimit whole) {
    double share = Math.max(MIN_SHARE, of(customer));
    return new ArrivalLimit(
        whole.requestsPerSecond() * share,
        (int) Math.max(1, whole.burstRequests() * share),
        whole.tokensPerSecond() * share,
        (long) Math.max(1, whole.burstTokens() * share));
  }

  QueueLimit of(CustomerId customer, QueueLimit whole) {
    double share = of(customer);
    return new QueueLimit(
        (int) Math.ceil(whole.maxRequests() * share), (long) Math.ceil(whole.maxTokens() * share));
  }
}
