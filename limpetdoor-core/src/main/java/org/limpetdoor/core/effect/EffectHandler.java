package org.limpetdoor.core.effect;

/** Executes effects. Methods return without blocking; results are delivered as events. */
public interface EffectHandler {
  /** Sends a request to a back end. */
  void dispatchAttempt(DispatchAttempt effect);

  /** Cancels an attempt and drops any data that still arrives for it. */
  void cancelAttempt(CancelAttempt effect);

  /** Ends a request whose complete response was relayed. */
  void finishRequest(FinishRequest effect);

  /** Answers a caller with a refusal. */
  void refuseRequest(RefuseRequest effect);

  /**
   * Writes the log line and updates the metrics of a decision, and stores it for explain requests.
   */
  void recordDecision(RecordDecision effect);

  /** Appends a record to the log. */
  void appendRecord(AppendRecord effect);

  /** Sends an order to an engine without retries. */
  void sendOrder(SendOrder effect);

  /** Requests the inventory of an engine. */
  void requestInventory(RequestInventory effect);

  /** Alerts the operators that requests of a customer have waited too long. */
  void raiseQueueAgeAlarm(RaiseQueueAgeAlarm effect);

  /** Changes the priority of an attempt that an engine is running. */
  void changePriority(ChangePriority effect);

  /** Stops the instance. */
  void stopInstance(StopInstance effect);

  /** Makes one attempt to open a link to a peer. */
  void connectPeer(ConnectPeer effect);

  /** Executes an effect that concerns forwarded calls. */
  void executeGatewayEffect(GatewayEffect effect);

  /** Sends a message to a peer. */
  void sendToPeer(SendToPeer effect);
}
