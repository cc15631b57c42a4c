package org.limpetdoor.standin.weights;

import java.util.List;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinState;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * State of the weight store. If more loads run than {@code fullSpeedLoads}, they share the
 * throughput equally.
 *
 * @param settings settings
 * @param loads loads in flight
 * @param updatedAtMs time up to which the progress of the loads is accounted for, in monotonic
 *     milliseconds
 */
public record WeightsState(WeightsSettings settings, PVector<Load> loads, long updatedAtMs)
    implements StandinState<WeightsState> {
  static WeightsState initial(WeightsSettings settings) {
    return new WeightsState(settings, TreePVector.empty(), 0);
  }

  @Override
  public long nextDeadlineMs() {
    double shortestMs = loads.stream().mapToDouble(Load::remainingMs).min().orElse(-1);
    return shortestMs < 0 ? NEVER_MS : updatedAtMs + (long) Math.ceil(shortestMs / relativeSpeed());
  }

  @Override
  public Transition<WeightsState, StandinEffect> advance(long nowMs) {
    Transition<WeightsState, StandinEffect> transition = Transition.of(this);
    while (transition.state().nextDeadlineMs() <= nowMs) {
      transition = transition.then(s -> s.advanceLoads(s.nextDeadlineMs()));
    }
    return transition.then(s -> s.advanceLoads(nowMs));
  }

  Transition<WeightsState, StandinEffect> load(long exchangeId, LoadRequest request) {
    Load load = new Load(exchangeId, request, settings.loadMs());
    return Transition.of(new WeightsState(settings, loads.plus(load), updatedAtMs));
  }

  private Transition<WeightsState, StandinEffect> advanceLoads(long nowMs) {
    double progressMs = (nowMs - updatedAtMs) * relativeSpeed();
    List<Load> progressed = loads.stream().map(load -> load.afterProgress(progressMs)).toList();
    List<Load> unfinished = progressed.stream().filter(load -> load.remainingMs > 0).toList();
    List<SendResponse> responses =
        progressed.stream()
            .filter(load -> load.remainingMs <= 0)
            .map(load -> SendResponse.ok(load.exchangeId, load.request))
            .toList();
    return Transition.<WeightsState, StandinEffect>of(
            new WeightsState(settings, TreePVector.from(unfinished), nowMs))
        .withAll(responses);
  }

  private double relativeSpeed() {
    return Math.min(1, (double) settings.fullSpeedLoads() / Math.max(1, loads.size()));
  }

  /** A load and its remaining time at full speed, in milliseconds. */
  record Load(long exchangeId, LoadRequest request, double remainingMs) {
    Load afterProgress(double progressMs) {
      return new Load(exchangeId, request, remainingMs - progressMs);
    }
  }
}
