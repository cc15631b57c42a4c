package org.limpetdoor.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The action that an order requests. */
public enum OrderAction {
  /** Loads a model, which occupies memory. */
  @JsonProperty("load")
  LOAD {
    @Override
    OrderResult check(Memory memory, Order order, boolean inUse) {
      return memory.fits(order.model(), order.memoryMib())
          ? OrderResult.DONE
          : OrderResult.NO_MEMORY;
    }

    @Override
    Memory applyTo(Memory memory, Order order) {
      return memory.plus(order.model(), order.memoryMib());
    }

    @Override
    long durationMs(EngineSettings settings) {
      return settings.loadMs();
    }
  },
  /** Unloads a model, which frees its memory. */
  @JsonProperty("unload")
  UNLOAD {
    @Override
    OrderResult check(Memory memory, Order order, boolean inUse) {
      if (!memory.models().containsKey(order.model())) {
        return OrderResult.UNKNOWN_MODEL;
      }
      return inUse ? OrderResult.MODEL_IN_USE : OrderResult.DONE;
    }

    @Override
    Memory applyTo(Memory memory, Order order) {
      return memory.minus(order.model());
    }
  },
  /** Only raises the fencing number. */
  @JsonProperty("fence")
  FENCE {
    @Override
    OrderResult check(Memory memory, Order order, boolean inUse) {
      return OrderResult.DONE;
    }

    @Override
    Memory applyTo(Memory memory, Order order) {
      return memory;
    }
  };

  /** Returns {@code DONE} if the order can be carried out, or the reason for its refusal. */
  abstract OrderResult check(Memory memory, Order order, boolean inUse);

  /** Returns the memory after the order. */
  abstract Memory applyTo(Memory memory, Order order);

  /** Returns the duration of the order in milliseconds. */
  long durationMs(EngineSettings settings) {
    return 0;
  }
}
