package org.limpetdoor.core.config;

/** Range checks of configured numbers. */
public final class Ranges {
  private Ranges() {}

  /** Checks that a number is at least a bound. */
  public static void atLeast(String field, long value, long minimum) {
    if (value < minimum) {
      throw new OutOfRangeException(field, String.valueOf(value), "at least " + minimum);
    }
  }

  /** Checks that a number is above a bound. */
  public static void above(String field, double value, double bound) {
    if (!(value > bound)) {
      throw new OutOfRangeException(field, String.valueOf(value), "above " + bound);
    }
  }

  /** Checks that a number lies in a closed interval. */
  public static void within(String field, double value, double minimum, double maximum) {
    if (!(value >= minimum && value <= maximum)) {
      throw new OutOfRangeException(
          field, String.valueOf(value), "from " + minimum + " to " + maximum);
    }
  }
}
