package org.limpetdoor.standin.log;

/**
 * Active faults of the log service.
 *
 * @param outage whether all requests are answered with status 503
 * @param loseAnswers number of appends still to come that take effect without a response
 * @param delayMs delay of all responses in milliseconds
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
