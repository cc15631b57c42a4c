package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.RequestId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Requests that this instance has accepted and not finished.
 *
 * @param byId requests by identifier
 * @param customers queues and rate limits by customer
 */
public record RequestTable(
    PMap<RequestId, RequestState> byId, PMap<CustomerId, CustomerState> customers) {
  /** No requests. */
  public static final RequestTable EMPTY =
      new RequestTable(HashTreePMap.empty(), HashTreePMap.empty());

  /** Returns a request. */
  public Optional<RequestState> find(RequestId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns how much of its limits a customer uses at the given time, in monotonic milliseconds.
   */
  public LimitUse limitUse(Contract contract, long nowMs) {
    CustomerState known = customers.get(contract.customer());
    CustomerState state = known == null ? CustomerState.initial(contract.arrival(), nowMs) : known;
    return LimitUse.of(contract, state, nowMs);
  }

  RequestTable with(RequestState request) {
    return new RequestTable(byId.plus(request.spec().id(), request), customers);
  }

  RequestTable without(RequestId id) {
    return new RequestTable(byId.minus(id), customers);
  }

  RequestTable withCustomer(CustomerId id, CustomerState customer) {
    return new RequestTable(byId, customers.plus(id, customer));
  }
}
