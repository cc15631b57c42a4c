package org.limpetdoor.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Deals the placement duty to one instance. Futures complete on the traffic thread. */
public interface DutyClient {
  /**
   * What the store said.
   *
   * @param generation number that rises with each change of the holders
   * @param held whether this instance holds the duty
   */
  record DutyResponse(long generation, boolean held) {}

  /**
   * Asks for the duty or keeps it; empty if there is no valid answer.
   *
   * @param generation the last generation that was told, or 0
   * @param ttlMs time without a word after which the duty is given away, in milliseconds
   */
  CompletableFuture<Optional<DutyResponse>> request(long generation, long ttlMs);

  /** Gives the duty back. */
  void release();
}
