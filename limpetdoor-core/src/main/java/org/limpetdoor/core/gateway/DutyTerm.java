package org.limpetdoor.core.gateway;

import java.util.Comparator;

/**
 * A term of the placement duty. Fencing numbers consist of the era, the generation and the number
 * of handovers, from the highest bits to the lowest, so that each number of a later era is higher
 * than all of earlier ones.
 *
 * @param era era of the store that granted the duty
 * @param generation generation of the store's group; 0 if none was reported in the era
 */
public record DutyTerm(long era, long generation) implements Comparable<DutyTerm> {
  /** Term before the first response of the store. */
  public static final DutyTerm NONE = new DutyTerm(0, 0);

  /** Bits for the handovers of a generation: one number for its first holder, one for each. */
  private static final int HANDOVER_BITS = 6;

  /** At one change of the group a second, the generations of an era last for 544 years. */
  private static final int GENERATION_BITS = 34;

  /** Fencing numbers have 53 bits, because JSON numbers are exact only up to there. */
  private static final int ERA_BITS = 53 - GENERATION_BITS - HANDOVER_BITS;

  /** Number of fencing numbers of one generation. */
  static final int NUMBERS_PER_GENERATION = 1 << HANDOVER_BITS;

  /** Highest era that a fencing number can contain. */
  public static final long MAX_ERA = (1L << ERA_BITS) - 1;

  /** Highest generation that a fencing number can contain. */
  public static final long MAX_GENERATION = (1L << GENERATION_BITS) - 1;

  private static final Comparator<DutyTerm> ORDER =
      Comparator.comparingLong(DutyTerm::era).thenComparingLong(DutyTerm::generation);

  /** Returns the term of a fencing number. */
  static DutyTerm of(long fencingNumber) {
    long generations = fencingNumber >> HANDOVER_BITS;
    return new DutyTerm(generations >> GENERATION_BITS, generations & MAX_GENERATION);
  }

  /** Returns the number of handovers in a fencing number. */
  static int handovers(long fencingNumber) {
    return (int) (fencingNumber & (NUMBERS_PER_GENERATION - 1));
  }

  long fencingNumber(int handovers) {
    return ((era << GENERATION_BITS | generation) << HANDOVER_BITS) + handovers;
  }

  /** Returns whether more than the given number of generations lie between an earlier term. */
  boolean isFarAfter(DutyTerm earlier, long generations) {
    return era > earlier.era || generation > earlier.generation + generations;
  }

  @Override
  public int compareTo(DutyTerm other) {
    return ORDER.compare(this, other);
  }
}
