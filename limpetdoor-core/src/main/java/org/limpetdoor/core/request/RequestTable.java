package org.limpetdoor.core.request;

import java.util.Optional;
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
