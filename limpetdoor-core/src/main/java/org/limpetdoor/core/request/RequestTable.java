package org.limpetdoor.core.request;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.RequestId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Requests that this instance has accepted and not finished.
 *
 * @param byId requests by identifier
 * @param customers rate limits and waiting work by customer
 * @param waitingCustomers customers with waiting work
 * @param pools queues by upstream and work class
 * @param nextSequence sequence number of the next arrival
 * @param decisionInputs inputs of request decisions beside the requests
 */
public record RequestTable(
    PMap<RequestId, RequestState> byId,
    PMap<CustomerId, CustomerState> customers,
    TreePSet<CustomerId> waitingCustomers,
    PMap<PoolId, Pool> pools,
    long nextSequence,
    DecisionInputs decisionInputs) {
  /** A table without requests. */
  public static final RequestTable EMPTY =
      new RequestTable(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          TreePSet.empty(),
          HashTreePMap.empty(),
          1,
          DecisionInputs.INITIAL);

  /** Returns the request with an identifier, if there is one. */
  public Optional<RequestState> find(RequestId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns a copy with another share of the limits for this instance. */
  public RequestTable withLimitShare(LimitShare share) {
    return withDecisionInputs(decisionInputs.withLimitShare(share));
  }

  /** Returns the share of the limits that this instance may use. */
  public LimitShare limitShare() {
    return decisionInputs.limitShare();
  }

  Pool pool(PoolId id) {
    return pools.getOrDefault(id, Pool.EMPTY);
  }

  /** Returns the upstreams with waiting requests in a fixed order. */
  List<UpstreamId> waitingUpstreams() {
    return pools.entrySet().stream()
        .filter(entry -> entry.getValue().hasWaiting())
        .map(entry -> entry.getKey().upstream())
        .distinct()
        .sorted()
        .toList();
  }

  CustomerState customer(CustomerId id, ArrivalLimit limit, long nowMs) {
    CustomerState existing = customers.get(id);
    return existing == null ? CustomerState.initial(limit, nowMs) : existing.refilled(limit, nowMs);
  }

  /**
   * Returns how much of its limits on this instance a customer uses at the given time, in monotonic
   * milliseconds.
   */
  public LimitUse limitUse(Contract contract, long nowMs) {
    ArrivalLimit arrivalLimit =
        decisionInputs.limitShare().of(contract.customer(), contract.arrival());
    QueueLimit queueLimit = decisionInputs.limitShare().of(contract.customer(), contract.queue());
    return LimitUse.of(
        arrivalLimit, queueLimit, customer(contract.customer(), arrivalLimit, nowMs));
  }

  RequestTable with(RequestState request) {
    return new RequestTable(
        byId.plus(request.spec().id(), request),
        customers,
        waitingCustomers,
        pools,
        nextSequence,
        decisionInputs);
  }

  RequestTable without(RequestId id) {
    return new RequestTable(
        byId.minus(id), customers, waitingCustomers, pools, nextSequence, decisionInputs);
  }

  RequestTable withCustomer(CustomerId id, CustomerState customer) {
    TreePSet<CustomerId> waiting =
        customer.waiting().isEmpty() ? waitingCustomers.minus(id) : waitingCustomers.plus(id);
    return new RequestTable(
        byId, customers.plus(id, customer), waiting, pools, nextSequence, decisionInputs);
  }

  RequestTable withPool(PoolId id, Pool pool) {
    return new RequestTable(
        byId, customers, waitingCustomers, pools.plus(id, pool), nextSequence, decisionInputs);
  }

  RequestTable withNextSequence() {
    return new RequestTable(
        byId, customers, waitingCustomers, pools, nextSequence + 1, decisionInputs);
  }

  RequestTable withDecisionInputs(DecisionInputs value) {
    return new RequestTable(byId, customers, waitingCustomers, pools, nextSequence, value);
  }
}
