package org.limpetdoor.core.limits;

/**
 * Decides how much of what a connection has sent is decoded before others have their turn. A step
 * is one call of the decoder or one header line: the time of decoding follows their number and not
 * the number of bytes, as a chunk of one byte takes as long as one of a kilobyte.
 *
 * <p>It answers the load at which many connections send small chunks, short header lines or
 * requests ahead without end: the thread that decodes them polls the sockets of all others between
 * two rounds.
 *
 * @param turnSteps steps of one connection before the next one has its turn
 * @param roundSteps steps of all connections that wait for a turn, before the sockets are polled
 */
public record DecodeBudget(int turnSteps, int roundSteps) {
  /** Less than a millisecond for a turn and some milliseconds for a round. */
  public static final DecodeBudget DEFAULT = new DecodeBudget(256, 4_096);

  /** Checks the numbers. */
  public DecodeBudget {
    if (turnSteps < 1 || roundSteps < turnSteps) {
      throw new IllegalArgumentException(
          "expected 1 <= turnSteps <= roundSteps, found " + turnSteps + " and " + roundSteps);
    }
  }

  /** Returns whether a connection has used its turn after the given number of steps. */
  public boolean endsTurn(int steps) {
    return steps >= turnSteps;
  }

  /** Returns whether a round has ended after the given number of steps of all its turns. */
  public boolean endsRound(int steps) {
    return steps >= roundSteps;
  }
}
