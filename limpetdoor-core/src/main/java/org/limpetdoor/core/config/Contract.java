package org.limpetdoor.core.config;

import java.util.List;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.KeyDigest;

/**
 * Limits and guarantees of one customer. All limits of the customer are derived from its contract.
 *
 * @param customer the customer
 * @param keyDigests digests of the keys that identify the customer's callers
 * @param arrival limit of the arrival rate
 * @param queue limit of the waiting work
 * @param firstTokenObjectiveMs objective for the time from arrival to the start of the answer, in
 *     milliseconds, at least 1
 * @param guaranteedShare share of the serving slots that is guaranteed when capacity is short, from
 *     0 to 1
 * @param weight share of the capacity beyond the guarantees, relative to other customers, at least
 *     1
 * @param shedOrder position in the order in which customers are refused when capacity is short
 */
public record Contract(
    CustomerId customer,
    List<KeyDigest> keyDigests,
    ArrivalLimit arrival,
    QueueLimit queue,
    int firstTokenObjectiveMs,
    double guaranteedShare,
    int weight,
    ShedOrder shedOrder) {

  /** Checks ranges and copies the digests. */
  public Contract {
    keyDigests = List.copyOf(keyDigests);
    Ranges.atLeast("firstTokenObjectiveMs", firstTokenObjectiveMs, 1);
    Ranges.within("guaranteedShare", guaranteedShare, 0, 1);
    Ranges.atLeast("weight", weight, 1);
  }
}
