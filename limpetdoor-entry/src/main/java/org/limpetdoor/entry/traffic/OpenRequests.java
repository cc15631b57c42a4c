package org.limpetdoor.entry.traffic;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.limpetdoor.core.id.RequestId;

/** Registry of the requests whose response is not complete. */
public final class OpenRequests {
  private final ConcurrentMap<RequestId, OpenRequest> byId = new ConcurrentHashMap<>();
  private final CompletableFuture<Void> empty = new CompletableFuture<>();
  private volatile boolean draining;
  private volatile boolean awaitingEmpty;

  /**
   * Adds a request to the registry.
   *
   * @return false if requests are refused because the control thread has ended
   */
  public boolean open(OpenRequest request) {
    byId.put(request.id(), request);
    if (draining) {
      close(request);
      return false;
    }
    return true;
  }

  /** Removes a request whose response was sent or whose caller has disconnected. */
  void close(OpenRequest request) {
    byId.remove(request.id());
    completeIfEmpty();
  }

  /** Returns the open request with the given identifier, if there is one. */
  Optional<OpenRequest> find(RequestId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns all open requests. */
  public Collection<OpenRequest> all() {
    return List.copyOf(byId.values());
  }

  /**
   * Stops accepting requests and refuses those without an open attempt. Used only when the control
   * thread has ended and the reducer cannot refuse them.
   */
  public CompletableFuture<Void> drain() {
    draining = true;
    all().forEach(OpenRequest::refuseUnlessAttemptOpen);
    return awaitEmpty();
  }

  /** Returns a future that completes as soon as no request is open. */
  public CompletableFuture<Void> awaitEmpty() {
    awaitingEmpty = true;
    completeIfEmpty();
    return empty;
  }

  /** Returns whether new requests are refused. */
  public boolean draining() {
    return draining;
  }

  private void completeIfEmpty() {
    if (awaitingEmpty && byId.isEmpty()) {
      empty.complete(null);
    }
  }
}
