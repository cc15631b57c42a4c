package org.limpetdoor.core.placement;

/** Outcome of sending an order to an engine. */
public enum OrderAnswer {
  /** The engine has carried it out. */
  DONE,
  /** The engine has refused it. An earlier copy may still have been carried out. */
  REFUSED,
  /** The order or its answer was lost. */
  UNKNOWN
}
