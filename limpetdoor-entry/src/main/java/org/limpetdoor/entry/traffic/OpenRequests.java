package org.limpetdoor.entry.traffic;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.limpetdoor.core.id.RequestId;

/** Registry of the requests whose callers wait for an answer or for the rest of one. */
public final class OpenRequests {
  private final ConcurrentMap<RequestId, OpenRequest> byId = new ConcurrentHashMap<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;

  /**
   * Adds a request.
   *
   * @return false if the instance is draining; the request is then not open
   */
  public boolean open(OpenRequest request) {
    byId.put(request.id(), request);
    if (draining) {
      close(request);
      return false;
    }
    return true;
  }

  /** Removes a request whose caller has its answer or has left. */
  void close(OpenRequest request) {
    byId.remove(request.id());
    completeIfDrained();
  }

  /** Returns an open request. */
  Optional<OpenRequest> find(RequestId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns all open requests. */
  public Collection<OpenRequest> all() {
    return List.copyOf(byId.values());
  }

  /** Stops taking requests; the future completes when none is open. */
  public CompletableFuture<Void> drain() {
    draining = true;
    completeIfDrained();
    return drained;
  }

  /** Returns whether new requests are refused. */
  public boolean draining() {
    return draining;
  }

  private void completeIfDrained() {
    if (draining && byId.isEmpty()) {
      drained.complete(null);
    }
  }
}
