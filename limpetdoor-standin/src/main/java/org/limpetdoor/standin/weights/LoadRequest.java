package org.limpetdoor.standin.weights;

/**
 * Body of {@code POST /loads}, and of its answer when the load has finished.
 *
 * @param model what is loaded
 * @param engine where it is loaded
 */
public record LoadRequest(String model, String engine) {
  /** Checks that both members are present. */
  public LoadRequest {
    if (model == null || engine == null) {
      throw new IllegalArgumentException("a load needs model and engine");
    }
  }
}
