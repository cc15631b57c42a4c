package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.pcollections.PSet;

/**
 * A model, or an adapter of a model.
 *
 * @param model name of the model
 * @param adapter name of the adapter, if one is meant
 */
public record ModelKey(String model, Optional<String> adapter) {
  /** Returns the key of a model without adapter. */
  public static ModelKey of(String model) {
    return new ModelKey(model, Optional.empty());
  }

  /** Returns the key of an adapter. */
  public static ModelKey of(String model, String adapter) {
    return new ModelKey(model, Optional.of(adapter));
  }

  /** Returns the key of the model alone. */
  public ModelKey base() {
    return adapter.isEmpty() ? this : of(model);
  }

  /** Returns a set without a key; a model that is dropped takes its adapters along. */
  static PSet<ModelKey> without(PSet<ModelKey> keys, ModelKey dropped) {
    PSet<ModelKey> left = keys.minus(dropped);
    if (dropped.adapter().isPresent()) {
      return left;
    }
    for (ModelKey key : keys) {
      left = key.base().equals(dropped) ? left.minus(key) : left;
    }
    return left;
  }

  @Override
  public String toString() {
    return adapter.map(name -> model + "/" + name).orElse(model);
  }
}
