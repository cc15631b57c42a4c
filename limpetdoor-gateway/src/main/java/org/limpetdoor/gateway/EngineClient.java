package org.limpetdoor.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.limpetdoor.core.gateway.EngineInventory;
import org.limpetdoor.core.gateway.EngineOrder;
import org.limpetdoor.core.gateway.EngineOrderResult;

/** Control interface of engines. Futures complete on the traffic thread and never fail. */
public interface EngineClient {
  /** Sends an order, once. */
  CompletableFuture<EngineOrderResult> sendOrder(EngineOrder order, String address);

  /** Asks what an engine holds; empty if there is no valid answer. */
  CompletableFuture<Optional<EngineInventory>> requestInventory(String engine, String address);
}
