package org.limpetdoor.standin.effect;

/** An effect that the HTTP side carries out for the reducer of a stand-in. Effects are data. */
public sealed interface StandinEffect
    permits AcceptConnections,
        SendResponse,
        CloseAllConnections,
        CloseConnection,
        EndStream,
        SendChunk,
        StartStream {
  /** Calls the method of the handler that matches this effect. */
  void applyTo(StandinEffectHandler handler);
}
