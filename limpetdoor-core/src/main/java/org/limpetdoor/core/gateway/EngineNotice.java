package org.limpetdoor.core.gateway;

/**
 * What an engine states about itself in the head of a response, whatever the response is to.
 *
 * @param leaving whether the engine is shutting down
 */
public record EngineNotice(boolean leaving) {
  /** The notice of a response that states nothing. */
  public static final EngineNotice NONE = new EngineNotice(false);
}
