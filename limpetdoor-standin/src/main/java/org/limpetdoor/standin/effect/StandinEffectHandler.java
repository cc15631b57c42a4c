package org.limpetdoor.standin.effect;

/** Carries out effects. Methods return at once and ignore replies that have already ended. */
public interface StandinEffectHandler {
  /** Sends a whole answer. */
  void answer(Answer effect);

  /** Sends the headers of an event stream. */
  void startStream(StartStream effect);

  /** Sends one event of a stream. */
  void sendChunk(SendChunk effect);

  /** Ends a stream. */
  void endStream(EndStream effect);

  /** Closes the connection of one reply without sending anything more. */
  void closeConnection(CloseConnection effect);

  /** Closes all connections and closes new ones when they are accepted. */
  void closeAllConnections(CloseAllConnections effect);

  /** Accepts connections again. */
  void acceptConnections(AcceptConnections effect);
}
