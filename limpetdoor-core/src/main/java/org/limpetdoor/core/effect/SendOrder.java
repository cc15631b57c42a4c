package org.limpetdoor.core.effect;

import java.util.Optional;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;

/**
 * Sends an order to an engine without retries. Results in {@code OrderAnswered}.
 *
 * @param engine the engine
 * @param address its address as {@code ip:port}
 * @param orderId identifier of the order
 * @param fencingNumber number that the engine compares with the highest number that it has received
 * @param action ordered action
 * @param model the model, or empty for a fence
 * @param memoryMib accelerator memory that a load needs, in MiB
 * @param sendWithinMs time after which the order must no longer be sent, in milliseconds
 */
public record SendOrder(
    BackendId engine,
    String address,
    String orderId,
    long fencingNumber,
    PlacementAction action,
    Optional<ModelId> model,
    int memoryMib,
    long sendWithinMs)
    implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.sendOrder(this);
  }
}
