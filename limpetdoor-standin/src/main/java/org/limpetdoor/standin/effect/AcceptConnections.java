package org.limpetdoor.standin.effect;

/** Accepts connections again. */
public record AcceptConnections() implements StandinEffect {
  @Override
  public void applyTo(StandinEffectHandler handler) {
    handler.acceptConnections(this);
  }
}
