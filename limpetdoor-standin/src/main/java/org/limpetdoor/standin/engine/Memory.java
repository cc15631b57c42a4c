package org.limpetdoor.standin.engine;

import org.pcollections.PMap;

/**
 * Accelerator memory of an engine, and its highest fencing number.
 *
 * @param capacityMib size in MiB
 * @param models memory of each loaded model in MiB
 * @param highestFencingNumber highest fencing number of all orders; 0 if the engine ignores fencing
 *     numbers
 */
public record Memory(int capacityMib, PMap<String, Integer> models, long highestFencingNumber) {
  boolean fits(String model, int memoryMib) {
    long used = models.values().stream().mapToLong(Integer::longValue).sum();
    return used - models.getOrDefault(model, 0) + memoryMib <= capacityMib;
  }

  Memory plus(String model, int memoryMib) {
    return new Memory(capacityMib, models.plus(model, memoryMib), highestFencingNumber);
  }

  Memory minus(String model) {
    return new Memory(capacityMib, models.minus(model), highestFencingNumber);
  }

  Memory withFencingNumber(long number) {
    return new Memory(capacityMib, models, Math.max(highestFencingNumber, number));
  }
}
