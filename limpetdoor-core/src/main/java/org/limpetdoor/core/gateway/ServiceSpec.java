package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.pcollections.PMap;

/**
 * A service behind routes.
 *
 * @param name name of the service
 * @param maxConnections connections that one engine accepts from all callers together
 * @param engine what its engines can hold, if they are model engines
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {

  /**
   * What each model engine of a service can hold.
   *
   * @param cacheTokens memory for prompts and running requests, in tokens
   * @param weightsMb memory for models and adapters, in MB
   * @param adapterCapacity adapters that it can hold
   * @param loadsPerS loads a second that the weight store allows over all engines
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
   * @param weightsMb memory of its weights, in MB
   * @param loadMs time of a load from the weight store, in milliseconds
   * @param copyLoadMs time of a load from the engine's own copy of the weights, in milliseconds
   * @param adapterMb memory of one of its adapters, in MB
   */
  public record ModelSpec(
      String name, double weightsMb, long loadMs, long copyLoadMs, double adapterMb) {}
}
