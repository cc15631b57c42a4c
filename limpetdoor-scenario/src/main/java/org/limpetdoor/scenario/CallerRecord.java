package org.limpetdoor.scenario;

import java.util.Optional;
import org.limpetdoor.core.request.Refusal;
import org.limpetdoor.core.request.RequestSpec;

/** What one fake caller sent and got. */
public final class CallerRecord {
  private static final long NOT_YET = -1;

  final RequestSpec spec;
  final String customer;
  final int outputTokens;
  final long sentAtMs;
  long startedAtMs = NOT_YET;
  long endedAtMs = NOT_YET;
  int attempts;
  int handedOver;
  boolean finished;
  Refusal refusal;

  CallerRecord(RequestSpec spec, String customer, int outputTokens, long sentAtMs) {
    this.spec = spec;
    this.customer = customer;
    this.outputTokens = outputTokens;
    this.sentAtMs = sentAtMs;
  }

  /** Returns the customer. */
  public String customer() {
    return customer;
  }

  /** Returns whether the caller got the whole answer. */
  public boolean finished() {
    return finished;
  }

  /** Returns the refusal, if the caller got one. */
  public Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  /** Returns the time from sending to the first byte, or -1 if none arrived. */
  public long timeToStartMs() {
    return startedAtMs == NOT_YET ? NOT_YET : startedAtMs - sentAtMs;
  }

  /** Returns the time from sending to the answer or refusal, or -1 if none arrived. */
  public long timeToEndMs() {
    return endedAtMs == NOT_YET ? NOT_YET : endedAtMs - sentAtMs;
  }

  /** Returns how many attempts were dispatched. */
  public int attempts() {
    return attempts;
  }
}
