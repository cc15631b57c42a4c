package org.limpetdoor.standin;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * A kind of fault that can be injected into a stand-in. Each stand-in implements it as an enum.
 *
 * @param <S> state of the stand-in
 */
public interface Fault<S> {
  /** Returns the transition that switches the fault on or off. */
  Transition<S, StandinEffect> apply(S state, FaultRequest request, long nowMs);

  /** Returns the fault with the given lower-case name, or empty if there is none. */
  static <F extends Enum<F>> Optional<F> find(Class<F> faults, String kind) {
    return Arrays.stream(faults.getEnumConstants()).filter(f -> name(f).equals(kind)).findFirst();
  }

  /** Returns the lower-case names of the faults, as used in fault requests. */
  static <F extends Enum<F>> List<String> names(Class<F> faults) {
    return Arrays.stream(faults.getEnumConstants()).map(Fault::name).toList();
  }

  private static String name(Enum<?> fault) {
    return fault.name().toLowerCase(Locale.ROOT);
  }
}
