package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.request.Target.ModelTarget;

/** Predicts the output length and the work class of a request. */
final class Prediction {
  private Prediction() {}

  static WorkPlan plan(NodeState state, RequestSpec spec, CustomerId customer) {
    int predicted = spec.maxOutputTokens();
    if (spec.target() instanceof ModelTarget call) {
      OutputLengths.Key key = new OutputLengths.Key(customer, call.model());
      predicted = state.requests().decisionInputs().outputLengths().predict(key, predicted);
    }
    return WorkPlan.of(spec, predicted, workClass(state, spec.target(), predicted));
  }

  /** Updates the estimate of output lengths from a completed request. */
  static NodeState recordOutputLength(NodeState state, RequestState request, int outputTokens) {
    if (!(request.spec().target() instanceof ModelTarget call)) {
      return state;
    }
    DecisionInputs inputs = state.requests().decisionInputs();
    OutputLengths.Key key = new OutputLengths.Key(request.customer(), call.model());
    return inputs
        .withOutputLengths(inputs.outputLengths().withSample(key, outputTokens))
        .applyTo(state);
  }

  private static WorkClass workClass(NodeState state, Target target, int predictedTokens) {
    if (target instanceof ModelTarget call) {
      int longWorkTokens = state.configuration().models().get(call.model()).longWorkTokens();
      return WorkClass.of(predictedTokens, longWorkTokens);
    }
    return WorkClass.SHORT;
  }
}
