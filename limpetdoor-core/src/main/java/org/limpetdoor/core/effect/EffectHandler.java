package org.limpetdoor.core.effect;

/** Carries out effects. Methods return at once; results come back as events. */
public interface EffectHandler {
  /** Sends a request to a back end. */
  void dispatchAttempt(DispatchAttempt effect);

  /** Ends an attempt and drops all that still arrives for it. */
  void cancelAttempt(CancelAttempt effect);

  /** Ends a request whose whole answer was passed on. */
  void finishRequest(FinishRequest effect);

  /** Answers a caller with a refusal. */
  void refuseRequest(RefuseRequest effect);

  /** Writes the log line and the metrics of a decision, and keeps it for explanations. */
  void recordDecision(RecordDecision effect);

  /** Appends to the log. */
  void appendRecord(AppendRecord effect);

  /** Sends an order to an engine, once. */
  void sendOrder(SendOrder effect);

  /** Asks an engine for its inventory. */
  void requestInventory(RequestInventory effect);

  /** Tells the operators that requests of a customer wait for too long. */
  void raiseQueueAgeAlarm(RaiseQueueAgeAlarm effect);

  /** Changes the priority of an attempt that an engine is running. */
  void changePriority(ChangePriority effect);

  /** Ends the instance. */
  void stopInstance(StopInstance effect);

  /** Opens a link to a peer, once. */
  void connectPeer(ConnectPeer effect);

  /** Carries out an effect of a forwarded call. */
  void gateway(GatewayEffect effect);

  /** Sends a message to a peer. */
  void sendToPeer(SendToPeer effect);
}
