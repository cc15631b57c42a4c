package org.limpetdoor.entry.traffic;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.CancelAttempt;
import org.limpetdoor.core.effect.ChangePriority;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.EffectHandler;
import org.limpetdoor.core.effect.FinishRequest;
import org.limpetdoor.core.effect.GatewayEffect;
import org.limpetdoor.core.effect.RaiseQueueAgeAlarm;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.runtime.decision.DecisionRecorder;
import org.limpetdoor.runtime.decision.LogLine;

/** Dispatches each effect of the reducer to the component that executes it. */
public final class EntryEffects implements EffectHandler, AutoCloseable {
  private static final Logger LOG = System.getLogger(EntryEffects.class.getName());

  private final AttemptEffects attemptEffects;
  private final ControlPlaneEffects controlPlaneEffects;
  private final DecisionRecorder decisions;
  private final Consumer<StopInstance.Reason> stop;

  /**
   * Creates a handler, which closes the given effect handlers when it is closed.
   *
   * @param attemptEffects executes the effects on requests and attempts
   * @param controlPlaneEffects executes the effects on the log and on engine control interfaces
   * @param decisions records decisions
   * @param stop ends the instance
   */
  public EntryEffects(
      AttemptEffects attemptEffects,
      ControlPlaneEffects controlPlaneEffects,
      DecisionRecorder decisions,
      Consumer<StopInstance.Reason> stop) {
    this.attemptEffects = attemptEffects;
    this.controlPlaneEffects = controlPlaneEffects;
    this.decisions = decisions;
    this.stop = stop;
  }

  @Override
  public void dispatchAttempt(DispatchAttempt effect) {
    attemptEffects.dispatchAttempt(effect);
  }

  @Override
  public void cancelAttempt(CancelAttempt effect) {
    attemptEffects.cancelAttempt(effect);
  }

  @Override
  public void changePriority(ChangePriority effect) {
    attemptEffects.changePriority(effect);
  }

  @Override
  public void finishRequest(FinishRequest effect) {
    // OpenRequest removes itself from the registry when its response has been sent.
  }

  @Override
  public void refuseRequest(RefuseRequest effect) {
    attemptEffects.refuseRequest(effect);
  }

  @Override
  public void recordDecision(RecordDecision effect) {
    decisions.record(effect.decision());
  }

  @Override
  public void raiseQueueAgeAlarm(RaiseQueueAgeAlarm effect) {
    LOG.log(Level.WARNING, LogLine.of(effect.alarm()).toString());
  }

  @Override
  public void appendRecord(AppendRecord effect) {
    controlPlaneEffects.appendRecord(effect);
  }

  @Override
  public void sendOrder(SendOrder effect) {
    controlPlaneEffects.sendOrder(effect);
  }

  @Override
  public void requestInventory(RequestInventory effect) {
    controlPlaneEffects.requestInventory(effect);
  }

  @Override
  public void stopInstance(StopInstance effect) {
    stop.accept(effect.reason());
  }

  /** Logs an error: this front end submits no gateway events, so no such effect is expected. */
  @Override
  public void executeGatewayEffect(GatewayEffect effect) {
    LOG.log(Level.ERROR, LogLine.event("effect_unexpected").with("effect", effect).toString());
  }

  /** Does nothing: peer links are not implemented here; membership uses the instance list. */
  @Override
  public void connectPeer(ConnectPeer effect) {}

  /** Drops the message: there are no peer links, and the reducer tolerates lost messages. */
  @Override
  public void sendToPeer(SendToPeer effect) {}

  @Override
  public void close() {
    controlPlaneEffects.close();
    attemptEffects.close();
  }
}
