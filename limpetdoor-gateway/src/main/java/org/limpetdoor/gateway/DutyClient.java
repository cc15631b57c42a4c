package org.limpetdoor.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Requests the placement duty, which the store grants to one instance at a time. Futures complete
 * on the traffic thread.
 */
public interface DutyClient {
  /**
   * Response of the store to a request for the placement duty.
   *
   * @param era era of the store
   * @param generation generation of the group, which rises with each change of the holder
   * @param held whether this instance holds the duty
   */
  record DutyResponse(long era, long generation, boolean held) {}

  /**
   * Requests the duty or renews it. The result is empty if there is no valid response.
   *
   * @param generation last generation that the store reported in its present era; 0 if none
   * @param ttlMs time without a request after which the store may grant the duty to another
   *     instance, in milliseconds
   */
  CompletableFuture<Optional<DutyResponse>> request(long generation, long ttlMs);

  /** Releases the duty. */
  void release();
}
