package org.limpetdoor.standin.effect;

/** Carries out effects. The methods don't block and ignore exchanges that are already complete. */
public interface StandinEffectHandler {
  /** Sends a complete response. */
  void sendResponse(SendResponse effect);

  /** Sends the headers of an event stream. */
  void startStream(StartStream effect);

  /** Sends one server-sent event. */
  void sendChunk(SendChunk effect);

  /** Ends an event stream. */
  void endStream(EndStream effect);

  /** Closes the connection of a request without sending anything more. */
  void closeConnection(CloseConnection effect);

  /** Closes all connections and closes new ones when they are accepted. */
  void closeAllConnections(CloseAllConnections effect);

  /** Accepts connections again. */
  void acceptConnections(AcceptConnections effect);
}
