package org.limpetdoor.core.decision;

import java.util.List;
import org.limpetdoor.core.decision.Decision.Field;

/**
 * Input of the planner's decision about a replica of a model.
 *
 * @param serving number of confirmed replicas
 * @param loading number of replicas that are ordered and not confirmed
 * @param unavailable number of replicas at engines that are leaving or unreachable
 * @param minimum required number of replicas
 * @param projectedSlots expected demand, in engine slots
 * @param peakSlots recorded peak of demand, in engine slots
 * @param freeMib memory of the engine that is not reserved, in MiB
 */
public record PlanBasis(
    int serving,
    int loading,
    int unavailable,
    int minimum,
    int projectedSlots,
    int peakSlots,
    long freeMib) {

  List<Field> fields() {
    return List.of(
        Field.of("serving", serving),
        Field.of("loading", loading),
        Field.of("unavailable", unavailable),
        Field.of("minimum", minimum),
        Field.of("projected_slots", projectedSlots),
        Field.of("peak_slots", peakSlots),
        Field.of("free_mib", freeMib));
  }
}
