package org.limpetdoor.standin.effect;

/** Something that a stand-in's reducer asks the HTTP side to do. Effects are data. */
public sealed interface StandinEffect
    permits AcceptConnections,
        Answer,
        CloseAllConnections,
        CloseConnection,
        EndStream,
        SendChunk,
        StartStream {
  /** Hands this effect to the matching method of a handler. */
  void applyTo(StandinEffectHandler handler);
}
