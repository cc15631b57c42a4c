package org.limpetdoor.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an order asks for. */
public enum OrderAction {
  /** Load a model, which takes memory. */
  @JsonProperty("load")
  LOAD {
    @Override
    OrderResult check(Memory memory, Order order, boolean inUse) {
      return memory.fits(order.model(), order.memoryMib())
          ? OrderResult.DONE
          : OrderResult.NO_MEMORY;
    }

    @Override
    Memory change(Memory memory, Order order) {
      return memory.plus(order.model(), order.memoryMib());
    }

    @Override
    long durationMs(EngineSettings settings) {
      return settings.loadMs();
    }
  },
  /** Unload a model, which frees its memory. */
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
    Memory change(Memory memory, Order order) {
      return memory.minus(order.model());
    }
  },
  /** Only raise the fencing number. */
  @JsonProperty("fence")
  FENCE {
    @Override
    OrderResult check(Memory memory, Order order, boolean inUse) {
      return OrderResult.DONE;
    }

    @Override
    Memory change(Memory memory, Order order) {
      return memory;
    }
  };

  /** Returns whether the order can be carried out. */
  abstract OrderResult check(Memory memory, Order order, boolean inUse);

  /** Carries the order out. */
  abstract Memory change(Memory memory, Order order);

  /** Returns how long it takes, in milliseconds. */
  long durationMs(EngineSettings settings) {
    return 0;
  }
}
