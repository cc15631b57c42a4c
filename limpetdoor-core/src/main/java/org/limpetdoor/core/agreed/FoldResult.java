package org.limpetdoor.core.agreed;

import java.util.Locale;

/** Why a record changed the agreed state or did not. */
public enum FoldResult {
  /** The record is in force. */
  ACCEPTED(true),
  /** The record is in force, and the engine holds more than its capacity. */
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
  /** Another unsettled intent has this name. */
  INTENT_EXISTS(false),
  /** No unsettled intent has this name. */
  UNKNOWN_INTENT(false),
  /** The account changed after the inventory was asked for. */
  INVENTORY_OUTDATED(false),
  /** Another request has claimed the key. */
  ALREADY_CLAIMED(false),
  /** All claims that are kept are unresolved. */
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

  /** Returns the word used in log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
