package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.id.BackendId;

/** Starts and ends attempts. */
final class Attempts {
  /** Silence before the first byte after which an attempt has failed. */
  private static final long FIRST_BYTE_TIMEOUT_MS = 10_000;

  private Attempts() {}

  /** Sends a request to the chosen back end. */
  static Transition<NodeState, Effect> dispatch(
      NodeState state, RequestState request, Router.Choice choice) {
    Backend backend = choice.backend().orElseThrow();
    RequestState sent = request.withAttempt(backend.id());
    NodeState next =
        state
            .withRequests(state.requests().with(sent))
            .withBackends(state.backends().update(backend.id(), BackendState::withAttemptStarted));
    DispatchAttempt dispatch =
        new DispatchAttempt(
            sent.currentAttempt(),
            backend.id(),
            backend.address(),
            WorkClass.SHORT.enginePriority(),
            sent.deliveredTokens(),
            FIRST_BYTE_TIMEOUT_MS);
    RecordDecision decision =
        new RecordDecision(Router.decision(state, sent, backend.id(), choice.passedOver()));
    return Transition.<NodeState, Effect>of(next, decision).with(dispatch);
  }

  /** Gives the slot of an ended attempt back. */
  static NodeState release(NodeState state, BackendId backend) {
    return state.withBackends(state.backends().update(backend, BackendState::withAttemptEnded));
  }
}
