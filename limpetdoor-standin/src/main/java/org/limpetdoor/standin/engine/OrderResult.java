package org.limpetdoor.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Outcome of an order. */
public enum OrderResult {
  /** The order is carried out, now or by an earlier repeat. */
  @JsonProperty("done")
  DONE,
  /** A higher fencing number was seen before. */
  @JsonProperty("stale_fencing_number")
  STALE_FENCING_NUMBER,
  /** The model does not fit into the free memory. */
  @JsonProperty("no_memory")
  NO_MEMORY,
  /** The model is not loaded. */
  @JsonProperty("unknown_model")
  UNKNOWN_MODEL,
  /** Answers of the model are running or queued. */
  @JsonProperty("model_in_use")
  MODEL_IN_USE
}
