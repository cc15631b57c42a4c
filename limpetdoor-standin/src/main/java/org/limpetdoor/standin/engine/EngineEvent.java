package org.limpetdoor.standin.engine;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.Answer;
import org.limpetdoor.standin.effect.StandinEffect;

/** Events of an engine. */
sealed interface EngineEvent extends StandinEvent<EngineState> {

  /** A completion was requested. */
  record CompletionRequested(long atMs, Job job) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.complete(job, atMs);
    }
  }

  /** An attempt was cancelled. */
  record CancelRequested(long replyId, long atMs, String attempt) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.cancel(replyId, attempt, atMs);
    }
  }

  /** The priority of an attempt was changed. */
  record PriorityChanged(long replyId, long atMs, String attempt, int priority)
      implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return state.changePriority(replyId, attempt, priority);
    }
  }

  /** The connection of a reply was closed by the caller. */
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

  /** The loaded models were asked for. */
  record InventoryRequested(long replyId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, Answer.ok(replyId, Inventory.of(state.memory())));
    }
  }

  /** The load was asked for. */
  record LoadRequested(long replyId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, state.load(replyId));
    }
  }

  /** The health was asked for. */
  record HealthRequested(long replyId, long atMs) implements EngineEvent {
    @Override
    public Transition<EngineState, StandinEffect> reduce(EngineState state) {
      return Transition.of(state, state.health(replyId));
    }
  }
}
