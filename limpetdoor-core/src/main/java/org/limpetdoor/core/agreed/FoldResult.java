package org.limpetdoor.core.agreed;

import java.util.Locale;

/** Result of folding a record into the agreed state. */
public enum FoldResult {
  /** The record was applied. */
  ACCEPTED(true),
  /** The record was applied, and the reserved memory of the engine exceeds its capacity. */
  OVER_CAPACITY(true),
  /** The record names an epoch that is not the current one. */
  EPOCH_SUPERSEDED(false),
  /** The engine belongs to another shard. */
  WRONG_SHARD(false),
  /** The configuration has no such engine. */
  UNKNOWN_ENGINE(false),
  /** Reserved and needed memory exceed the capacity of the engine. */
  NO_CAPACITY(false),
  /** Too few replicas of the model, or too few zones, would be left. */
  BELOW_MINIMUM(false),
  /** An earlier intent for the engine is not settled. */
  ENGINE_BUSY(false),
  /** The engine already holds the model, or does not hold the model to unload. */
  NOTHING_TO_DO(false),
  /** Another unsettled intent has this identifier. */
  INTENT_EXISTS(false),
  /** No unsettled intent has this identifier. */
  UNKNOWN_INTENT(false),
  /** The account changed after the inventory was requested. */
  INVENTORY_OUTDATED(false),
  /** Another request has claimed the key. */
  ALREADY_CLAIMED(false),
  /** The maximum number of claims is reached, and none of them is resolved. */
  CLAIMS_FULL(false),
  /** The claim does not exist or belongs to another request. */
  UNKNOWN_CLAIM(false);

  private final boolean accepted;

  FoldResult(boolean accepted) {
    this.accepted = accepted;
  }

  /** Returns whether the record changed the state. */
  public boolean accepted() {
    return accepted;
  }

  /** Returns the label used in log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
