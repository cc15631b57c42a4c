package org.limpetdoor.core.agreed;

/** What an order asks of an engine. */
public enum PlacementAction {
  /** Load a model. */
  LOAD(true, true),
  /** Unload a model. */
  UNLOAD(true, false),
  /** Take note of a fencing number, so that earlier orders are refused. Needs no intent. */
  FENCE(false, false);

  private final boolean intended;
  private final boolean heldAfter;

  PlacementAction(boolean intended, boolean heldAfter) {
    this.intended = intended;
    this.heldAfter = heldAfter;
  }

  /** Returns whether the order needs an intent in the log before it is sent. */
  public boolean intended() {
    return intended;
  }

  /** Returns whether the engine holds the model after it carried out the order. */
  public boolean heldAfter() {
    return heldAfter;
  }
}
