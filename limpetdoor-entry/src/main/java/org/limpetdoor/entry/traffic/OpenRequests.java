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
  private volatile boolean awaited;

  /**
   * Adds a request.
   *
   * @return false if the control thread has ended; the request is then not open
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
    completeIfEmpty();
  }

  /** Returns an open request. */
  Optional<OpenRequest> find(RequestId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns all open requests. */
  public Collection<OpenRequest> all() {
    return List.copyOf(byId.values());
  }

  /**
   * Stops taking requests and refuses those that no attempt can answer any more. Needed only when
   * no reducer can refuse them.
   */
  public CompletableFuture<Void> drain() {
    draining = true;
    all().forEach(OpenRequest::refuseWithoutAttempt);
    return awaitEmpty();
  }

  /** Returns a future that completes when no request is open. */
  public CompletableFuture<Void> awaitEmpty() {
    awaited = true;
    completeIfEmpty();
    return drained;
  }

  /** Returns whether new requests are refused. */
  public boolean draining() {
    return draining;
  }

  private void completeIfEmpty() {
    if (awaited && byId.isEmpty()) {
      drained.complete(null);
    }
  }
}
