package org.limpetdoor.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.limpetdoor.core.gateway.EngineInventory;
import org.limpetdoor.core.gateway.EngineOrder;
import org.limpetdoor.core.gateway.EngineOrderResult;

/**
 * Client of the control interface of engines. Futures complete on the traffic thread and never
 * fail.
 */
public interface EngineClient {
  /** Sends an order once, without retries. */
  CompletableFuture<EngineResponse<EngineOrderResult>> sendOrder(EngineOrder order, String address);

  /** Requests the inventory of an engine. The content is empty if there is no valid response. */
  CompletableFuture<EngineResponse<Optional<EngineInventory>>> requestInventory(
      String engine, String address);
}
