package org.limpetdoor.standin.effect;

/** Closes all connections and closes new ones when they are accepted. */
public record CloseAllConnections() implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.closeAllConnections(this);
  }
}
