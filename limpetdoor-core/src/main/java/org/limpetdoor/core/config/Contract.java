package org.limpetdoor.core.config;

import java.util.List;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.KeyDigest;

/**
 * What one customer may ask for and what is owed to it. Every limit of the customer follows from
 * its contract.
 *
 * @param customer the customer
 * @param keyDigests digests of the keys that identify the customer's callers
 * @param arrival how fast work may arrive
 * @param queue how much work may wait
 * @param firstTokenObjectiveMs latest start of an answer after arrival, in milliseconds, at least 1
 * @param guaranteedShare part of the serving slots owed when capacity is short, from 0 to 1
 * @param weight share of what is left beyond the guarantees, relative to other customers, at least
 *     1
 * @param shedOrder which customers are refused first when capacity is short
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
