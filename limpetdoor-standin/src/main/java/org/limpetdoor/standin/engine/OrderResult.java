package org.limpetdoor.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Outcome of an order. */
public enum OrderResult {
  /** The order was carried out, now or when an earlier copy of it arrived. */
  @JsonProperty("done")
  DONE,
  /** An earlier order had a higher fencing number. */
  @JsonProperty("stale_fencing_number")
  STALE_FENCING_NUMBER,
  /** There is not enough free memory for the model. */
  @JsonProperty("no_memory")
  NO_MEMORY,
  /** The model is not loaded. */
  @JsonProperty("unknown_model")
  UNKNOWN_MODEL,
  /** Answers of the model are running or queued. */
  @JsonProperty("model_in_use")
  MODEL_IN_USE
}
