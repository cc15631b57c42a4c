package org.limpetdoor.standin.log;

/**
 * Faults in force.
 *
 * @param outage whether all requests are answered with status 503
 * @param loseAnswers how many of the next appends take effect without an answer
 * @param delayMs delay of all answers in milliseconds
 */
record LogFaults(boolean outage, int loseAnswers, long delayMs) {
  static final LogFaults NONE = new LogFaults(false, 0, 0);

  LogFaults withOutage(boolean value) {
    return new LogFaults(value, loseAnswers, delayMs);
  }

  LogFaults withLoseAnswers(int value) {
    return new LogFaults(outage, value, delayMs);
  }

  LogFaults withDelayMs(long value) {
    return new LogFaults(outage, loseAnswers, value);
  }
}
