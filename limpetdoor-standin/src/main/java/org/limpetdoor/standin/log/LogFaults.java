package org.limpetdoor.standin.log;

/**
 * Active faults of the log service.
 *
 * @param outage whether all requests are answered with status 503
 * @param responsesToDrop number of further appends that take effect but get no response
 * @param delayMs delay of all responses in milliseconds
 */
record LogFaults(boolean outage, int responsesToDrop, long delayMs) {
  static final LogFaults NONE = new LogFaults(false, 0, 0);

  LogFaults withOutage(boolean value) {
    return new LogFaults(value, responsesToDrop, delayMs);
  }

  LogFaults withResponsesToDrop(int value) {
    return new LogFaults(outage, value, delayMs);
  }

  LogFaults withDelayMs(long value) {
    return new LogFaults(outage, responsesToDrop, value);
  }
}
