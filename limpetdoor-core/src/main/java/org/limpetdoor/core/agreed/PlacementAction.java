package org.limpetdoor.core.agreed;

/** What an order asks of an engine. */
public enum PlacementAction {
  /** Load a model. */
  LOAD(true, true),
  /** Unload a model. */
  UNLOAD(true, false),
  /** Take note of a fencing number, so that earlier orders are refused. Needs no intent. */
  FENCE(false, false);

  private final boolean requiresIntent;
  private final boolean loadedAfter;

  PlacementAction(boolean requiresIntent, boolean loadedAfter) {
    this.requiresIntent = requiresIntent;
    this.loadedAfter = loadedAfter;
  }

  /** Returns whether the order needs an intent in the log before it is sent. */
  public boolean requiresIntent() {
    return requiresIntent;
  }

  /** Returns whether the engine holds the model after it carried out the order. */
  public boolean loadedAfter() {
    return loadedAfter;
  }
}
