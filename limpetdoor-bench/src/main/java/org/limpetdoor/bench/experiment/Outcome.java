package org.limpetdoor.bench.experiment;

import org.limpetdoor.scenario.CallerRecord;

/** A request and its result for the caller. */
record Outcome(Arrival arrival, CallerRecord caller) {
  boolean measured() {
    return arrival.atMs() >= Workload.WARM_UP_MS;
  }

  boolean inCrest() {
    return arrival.atMs() >= Workload.CREST_FROM_MS && arrival.atMs() < Workload.CREST_END_MS;
  }

  boolean startedInTime() {
    long startMs = caller.timeToStartMs();
    return startMs >= 0 && startMs <= arrival.customer().objectiveMs;
  }

  boolean refused() {
    return caller.refusal().isPresent();
  }

  String engine() {
    return caller.lastBackend().map(Object::toString).orElse("none");
  }
}
