package org.limpetdoor.standin.engine;

import java.util.Map;
import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of an engine.
 *
 * @param address listen address
 * @param slots maximum number of answers produced at the same time, at least 1
 * @param tokenIntervalMs interval between two tokens of an answer in milliseconds, at least 0
 * @param maxTokens maximum length of an answer in tokens, at least 1
 * @param capacityMib accelerator memory in MiB
 * @param loadMs duration of a load order in milliseconds, at least 0
 * @param refusesOldFencingNumbers whether orders with an old fencing number are refused
 * @param models models that are loaded at startup, with their memory in MiB; empty if absent
 */
public record EngineSettings(
    ListenAddress address,
    int slots,
    long tokenIntervalMs,
    int maxTokens,
    int capacityMib,
    long loadMs,
    boolean refusesOldFencingNumbers,
    Map<String, Integer> models)
    implements StandinSettings {
  /** Checks the ranges. */
  public EngineSettings {
    models = models == null ? Map.of() : Map.copyOf(models);
    if (address == null || slots < 1 || maxTokens < 1) {
      throw new IllegalArgumentException(
          "address is required; slots and maxTokens must be at least 1");
    }
    if (tokenIntervalMs < 0 || loadMs < 0) {
      throw new IllegalArgumentException("tokenIntervalMs and loadMs must be at least 0");
    }
    if (models.values().stream().mapToInt(Integer::intValue).sum() > capacityMib) {
      throw new IllegalArgumentException("the models need more memory than capacityMib");
    }
  }

  @Override
  public StandinRole role() {
    return StandinRole.ENGINE;
  }
}
