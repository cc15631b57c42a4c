package org.limpetdoor.core.effect;

import java.util.Optional;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;

/**
 * Sends an order to an engine, once. Ends in {@code OrderAnswered}.
 *
 * @param engine the engine
 * @param address its address as {@code ip:port}
 * @param orderId name of the order
 * @param fencingNumber number that the engine compares with the highest that it has seen
 * @param action what is ordered
 * @param model the model, or empty for a fence
 * @param memoryMib memory that a load needs, in MiB
 * @param sendWithinMs time after which the order must not leave the process any more, in
 *     milliseconds
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
