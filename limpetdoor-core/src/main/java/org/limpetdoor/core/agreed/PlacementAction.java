package org.limpetdoor.core.agreed;

/** Action that an order requests from an engine. */
public enum PlacementAction {
  /** Load a model. */
  LOAD(true, true),
  /** Unload a model. */
  UNLOAD(true, false),
  /** Record a fencing number, so that earlier orders are refused. Requires no intent. */
  FENCE(false, false);

  private final boolean requiresIntent;
  private final boolean loadedAfter;

  PlacementAction(boolean requiresIntent, boolean loadedAfter) {
    this.requiresIntent = requiresIntent;
    this.loadedAfter = loadedAfter;
  }

  /** Returns whether the order requires an intent in the log before it is sent. */
  public boolean requiresIntent() {
    return requiresIntent;
  }

  /** Returns whether the engine holds the model after it carried out the order. */
  public boolean loadedAfter() {
    return loadedAfter;
  }
}
