package org.limpetdoor.standin.engine;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;

/** Events of an engine. */
sealed interface EngineEvent extends StandinEvent<EngineState> {

  /** A chat-completion request arrived. */
  record CompletionRequested(long atMs, Job job) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.acceptCompletion(job, atMs);
    }
  }

  /** A request to cancel an attempt arrived. */
  record CancelRequested(long exchangeId, long atMs, String attempt) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.cancel(exchangeId, attempt, atMs);
    }
  }

  /** A request to change the priority of an attempt arrived. */
  record PriorityChanged(long exchangeId, long atMs, String attempt, int priority)
      implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.changePriority(exchangeId, attempt, priority);
    }
  }

  /** The client closed the connection of a request. */
  record Disconnected(long exchangeId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.cancelDisconnected(exchangeId, atMs);
    }
  }

  /** An order arrived. */
  record OrderReceived(long exchangeId, long atMs, Order order) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.executeOrder(exchangeId, order, atMs);
    }
  }

  /** A request for the inventory of loaded models arrived. */
  record InventoryRequested(long exchangeId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, SendResponse.ok(exchangeId, Inventory.of(state.memory())));
    }
  }

  /** A request for the current load arrived. */
  record LoadReportRequested(long exchangeId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, state.loadResponse(exchangeId));
    }
  }

  /** A health check arrived. */
  record HealthRequested(long exchangeId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, state.healthResponse(exchangeId));
    }
  }
}
