package org.limpetdoor.core.gateway;

/** Reason for which the holder of the placement duty has not ordered a requested model. */
public enum PlacementObstacle {
  /** An order for the model or adapter is open or under way. */
  ORDERED,
  /** No engine holds the base model of an adapter. */
  BASE_MODEL_ABSENT,
  /** Every engine that could load it has another order under way or was not inspected yet. */
  ENGINES_NOT_READY,
  /** All adapter places are taken, and adapters that are unloading have calls in flight. */
  ADAPTERS_UNLOADING,
  /** All adapter places are taken by adapters in use or called recently. */
  ADAPTERS_IN_USE,
  /** The limits of the weight store allow no load now. */
  STORE_LIMIT,
  /** No engine has free memory or a replica whose loss is small enough. */
  NO_VICTIM,
  /** Other models have a greater need. */
  BEHIND_OTHERS
}
