package org.limpetdoor.standin.weights;

/**
 * Body of {@code POST /loads}, and of the response that is sent when the load has finished.
 *
 * @param model name of the model
 * @param engine name of the engine that loads the model
 */
public record LoadRequest(String model, String engine) {
  /** Checks that both members are present. */
  public LoadRequest {
    if (model == null || engine == null) {
      throw new IllegalArgumentException("model and engine are required");
    }
  }
}
