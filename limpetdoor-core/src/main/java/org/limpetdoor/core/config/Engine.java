package org.limpetdoor.core.config;

import java.util.List;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;

/**
 * A model engine.
 *
 * @param id the identifier
 * @param zone zone that the engine runs in
 * @param address address as {@code ip:port}
 * @param slots largest number of requests in one batch, at least 1
 * @param memoryMib accelerator memory for models and adapters, in MiB, at least 1
 * @param fencing whether the engine checks the fencing number of orders
 * @param initialModels models that are loaded when the engine starts
 */
public record Engine(
    BackendId id,
    ZoneId zone,
    String address,
    int slots,
    int memoryMib,
    FencingSupport fencing,
    List<ModelId> initialModels)
    implements Backend {
  /** Checks ranges and copies the models. */
  public Engine {
    Ranges.atLeast("slots", slots, 1);
    Ranges.atLeast("memoryMib", memoryMib, 1);
    initialModels = List.copyOf(initialModels);
  }
}
