package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.request.Target.ModelTarget;

/** Predicts the length of the output of a request. */
final class Prediction {
  private Prediction() {}

  static WorkPlan plan(NodeState state, RequestSpec spec, CustomerId customer) {
    int predicted = spec.maxOutputTokens();
    return WorkPlan.of(spec, predicted, workClass(state, spec.target(), predicted));
  }

  private static WorkClass workClass(NodeState state, Target target, int predictedTokens) {
    if (target instanceof ModelTarget call) {
      int longWorkTokens = state.configuration().models().get(call.model()).longWorkTokens();
      return WorkClass.of(predictedTokens, longWorkTokens);
    }
    return WorkClass.SHORT;
  }
}
