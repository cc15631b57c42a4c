package org.limpetdoor.bench.experiment;

import java.util.Optional;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.request.Target;
import org.limpetdoor.core.request.Target.ModelTarget;
import org.limpetdoor.scenario.RequestShape;

/**
 * One request of a workload.
 *
 * @param atMs time at which it is sent, in milliseconds
 * @param customer the customer that sends it
 * @param model the model
 * @param adapter the adapter, if any
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens length of the answer, in tokens
 * @param longWork whether the answer is thirty times longer than usual
 * @param prefix hash of the start of the prompt, or 0
 * @param withinGuarantee whether its customer stays within its guaranteed share at that time
 */
record Arrival(
    long atMs,
    Customer customer,
    String model,
    Optional<String> adapter,
    int promptTokens,
    int outputTokens,
    boolean longWork,
    long prefix,
    boolean withinGuarantee) {
  /** Bound that all callers set, so that it does not reveal the length of an answer. */
  private static final int MAX_OUTPUT_TOKENS = 2_000;

  Target target() {
    return new ModelTarget(new ModelId(model), adapter.map(AdapterId::new));
  }

  RequestShape shape() {
    return RequestShape.of(promptTokens, outputTokens)
        .withMaxOutputTokens(MAX_OUTPUT_TOKENS)
        .withPrefixHash(prefix);
  }

  /** Returns the duration on an idle engine without a cached prefix, in milliseconds. */
  double serviceMs() {
    return Workload.serviceMs(promptTokens, outputTokens);
  }

  Arrival withWithinGuarantee(boolean value) {
    return new Arrival(
        atMs, customer, model, adapter, promptTokens, outputTokens, longWork, prefix, value);
  }
}
