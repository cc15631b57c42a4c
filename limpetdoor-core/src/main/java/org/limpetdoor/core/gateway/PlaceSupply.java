package org.limpetdoor.core.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.gateway.sharing.PlaceForecast;
import org.limpetdoor.core.gateway.sharing.ShareLedger;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The places at the engines that hold the model of a call, and the waiting calls that compete for
 * them. It takes one pass over the engines of the service and one over the waiting calls.
 *
 * @param forecast when places come free
 * @param competitors waiting calls that can use one of these engines, in the order of arrival
 * @param weights part of the engines of each model of these calls that hold the model of the call
 */
record PlaceSupply(PlaceForecast forecast, List<Call> competitors, PMap<ModelKey, Double> weights) {
  /** Engines that hold a model, and those of them that hold the model of the call too. */
  private record Holders(int all, int shared) {
    static final Holders NONE = new Holders(0, 0);

    Holders plus(boolean isShared) {
      return new Holders(all + 1, shared + (isShared ? 1 : 0));
    }
  }

  static PlaceSupply of(NodeState node, Call call) {
    GatewayState state = node.gateway();
    ShareLedger ledger = state.callTable().shares();
    List<Call> ofService =
        state.waiting().stream()
            .map(state.calls()::get)
            .filter(waiting -> waiting.service().equals(call.service()))
            .toList();
    Set<ModelKey> models = new HashSet<>();
    ofService.forEach(waiting -> waiting.spec().model().ifPresent(models::add));
    Map<ModelKey, Holders> holders = new HashMap<>();
    double completionsPerS = 0;
    int inFlight = 0;
    for (EngineState engine : state.engines().ofService(call.service())) {
      if (!engine.mayReceive(node.nowMs())) {
        continue;
      }
      boolean usable = call.spec().model().map(engine::holds).orElse(true);
      if (usable) {
        completionsPerS += ledger.completionsPerS(engine.entry().id(), node.nowMs());
        inFlight += engine.load().inFlight() + state.peers().inFlight(engine.entry().id());
      }
      for (ModelKey model : models.isEmpty() ? Set.<ModelKey>of() : engine.held()) {
        if (models.contains(model)) {
          holders.merge(model, Holders.NONE.plus(usable), (a, b) -> a.plus(usable));
        }
      }
    }
    PMap<ModelKey, Double> weights = HashTreePMap.empty();
    for (Map.Entry<ModelKey, Holders> entry : holders.entrySet()) {
      weights =
          weights.plus(entry.getKey(), (double) entry.getValue().shared() / entry.getValue().all());
    }
    PlaceForecast forecast =
        PlaceForecast.of(
            completionsPerS, inFlight, ledger.meanRunMs(), RetryBudgets.instances(node));
    PlaceSupply all = new PlaceSupply(forecast, ofService, weights);
    List<Call> competitors = ofService.stream().filter(waiting -> all.weight(waiting) > 0).toList();
    return new PlaceSupply(forecast, competitors, weights);
  }

  /** Returns the part of the engines of a waiting call that the call can use too. */
  double weight(Call waiting) {
    Optional<ModelKey> model = waiting.spec().model();
    return model.isPresent() ? weights.getOrDefault(model.get(), 0.0) : 1;
  }
}
