package org.limpetdoor.standin;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * A kind of fault that a stand-in can be told to show; implemented by enums.
 *
 * @param <S> state of the stand-in
 */
public interface Fault<S> {
  /** Returns the state with the fault switched on or off. */
  Transition<S, StandinEffect> apply(S state, FaultRequest request, long nowMs);

  /** Returns the fault with the given name in lower case. */
  static <F extends Enum<F>> Optional<F> find(Class<F> faults, String kind) {
    return Arrays.stream(faults.getEnumConstants()).filter(f -> name(f).equals(kind)).findFirst();
  }

  /** Returns the names of the faults, as requests give them. */
  static <F extends Enum<F>> List<String> names(Class<F> faults) {
    return Arrays.stream(faults.getEnumConstants()).map(Fault::name).toList();
  }

  private static String name(Enum<?> fault) {
    return fault.name().toLowerCase(Locale.ROOT);
  }
}
