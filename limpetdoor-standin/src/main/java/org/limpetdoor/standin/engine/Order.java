package org.limpetdoor.standin.engine;

/**
 * Body of {@code POST /control/orders}.
 *
 * @param orderId identifier that the sender chose
 * @param fencingNumber epoch of the lease under which the order was sent, at least 0
 * @param action action to carry out
 * @param model name of the model; optional for the action {@code fence}
 * @param memoryMib memory of the model in MiB, at least 0
 */
public record Order(
    String orderId, long fencingNumber, OrderAction action, String model, int memoryMib) {
  /** Checks the members. */
  public Order {
    if (orderId == null || action == null || fencingNumber < 0 || memoryMib < 0) {
      throw new IllegalArgumentException(
          "orderId and action are required; fencingNumber and memoryMib must be at least 0");
    }
    if (model == null && action != OrderAction.FENCE) {
      throw new IllegalArgumentException("model is required to load or unload");
    }
  }
}
