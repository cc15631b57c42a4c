package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.pcollections.PMap;

/**
 * A service that routes refer to.
 *
 * @param name name of the service
 * @param maxConnections largest number of connections that one engine accepts in total
 * @param engine capacity of its engines, if they are model engines
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {

  /**
   * Capacity of each model engine of a service.
   *
   * @param cacheTokens memory for prompts and running requests, in tokens
   * @param weightsMb memory for the weights of models and adapters, in MB
   * @param adapterCapacity largest number of loaded adapters
   * @param loadsPerS loads per second that the weight store allows for all engines together
   * @param models models by name
   */
  public record EngineSpec(
      long cacheTokens,
      double weightsMb,
      int adapterCapacity,
      double loadsPerS,
      PMap<String, ModelSpec> models) {}

  /**
   * A model.
   *
   * @param name name of the model
   * @param weightsMb size of its weights, in MB
   * @param loadMs time to load the model from the weight store, in milliseconds
   * @param copyLoadMs time to load the model from the engine's own copy, in milliseconds
   * @param adapterMb size of one of its adapters, in MB
   */
  public record ModelSpec(
      String name, double weightsMb, long loadMs, long copyLoadMs, double adapterMb) {}
}
