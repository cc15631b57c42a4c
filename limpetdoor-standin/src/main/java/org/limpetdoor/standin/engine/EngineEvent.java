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
      return state.complete(job, atMs);
    }
  }

  /** A request to cancel an attempt arrived. */
  record CancelRequested(long replyId, long atMs, String attempt) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.cancel(replyId, attempt, atMs);
    }
  }

  /** A request to change the priority of an attempt arrived. */
  record PriorityChanged(long replyId, long atMs, String attempt, int priority)
      implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.changePriority(replyId, attempt, priority);
    }
  }

  /** The client closed the connection of a request. */
  record Disconnected(long replyId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.disconnect(replyId, atMs);
    }
  }

  /** An order arrived. */
  record OrderReceived(long replyId, long atMs, Order order) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.order(replyId, order, atMs);
    }
  }

  /** A request for the inventory of loaded models arrived. */
  record InventoryRequested(long replyId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, SendResponse.ok(replyId, Inventory.of(state.memory())));
    }
  }

  /** A request for the current load arrived. */
  record LoadRequested(long replyId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, state.loadResponse(replyId));
    }
  }

  /** A health check arrived. */
  record HealthRequested(long replyId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, state.healthResponse(replyId));
    }
  }
}
