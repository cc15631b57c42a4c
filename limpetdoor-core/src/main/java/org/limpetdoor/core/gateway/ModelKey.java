package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.pcollections.PSet;

/**
 * A model, or an adapter of a model.
 *
 * @param model name of the model
 * @param adapter name of the adapter; empty for the model itself
 */
public record ModelKey(String model, Optional<String> adapter) {
  /** Returns the key of a model. */
  public static ModelKey of(String model) {
    return new ModelKey(model, Optional.empty());
  }

  /** Returns the key of an adapter of a model. */
  public static ModelKey of(String model, String adapter) {
    return new ModelKey(model, Optional.of(adapter));
  }

  /** Returns the key of the model, without the adapter. */
  public ModelKey base() {
    return adapter.isEmpty() ? this : of(model);
  }

  /** Returns the keys without the given one. Removing a model removes its adapters as well. */
  static PSet<ModelKey> withoutKey(PSet<ModelKey> keys, ModelKey removed) {
    PSet<ModelKey> remaining = keys.minus(removed);
    if (removed.adapter().isPresent()) {
      return remaining;
    }
    for (ModelKey key : keys) {
      remaining = key.base().equals(removed) ? remaining.minus(key) : remaining;
    }
    return remaining;
  }

  @Override
  public String toString() {
    return adapter.map(name -> model + "/" + name).orElse(model);
  }
}
