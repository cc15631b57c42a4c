package org.limpetdoor.standin.engine;

import java.util.List;
import java.util.Map;

/**
 * Body of {@code GET /control/inventory}.
 *
 * @param models the loaded models by name
 * @param capacityMib accelerator memory in MiB
 * @param highestFencingNumber highest fencing number of all orders; 0 if the engine ignores fencing
 *     numbers
 */
public record Inventory(List<LoadedModel> models, int capacityMib, long highestFencingNumber) {
  static Inventory of(Memory memory) {
    List<LoadedModel> models =
        memory.models().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(entry -> new LoadedModel(entry.getKey(), entry.getValue()))
            .toList();
    return new Inventory(models, memory.capacityMib(), memory.highestFencingNumber());
  }

  /** A loaded model and its memory in MiB. */
  public record LoadedModel(String model, int memoryMib) {}
}
