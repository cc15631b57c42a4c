package org.limpetdoor.scenario;

import java.util.Optional;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.request.Refusal;
import org.limpetdoor.core.request.RequestSpec;

/** The request of one fake caller and its result. */
public final class CallerRecord {
  private static final long UNSET = -1;

  final RequestSpec spec;
  final String customer;
  final int outputTokens;
  final long sentAtMs;
  long startedAtMs = UNSET;
  long endedAtMs = UNSET;
  int attempts;
  int deliveredAttempts;
  boolean finished;
  Refusal refusal;
  BackendId lastBackend;
  long dispatchedAtMs = UNSET;

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

  /** Returns whether the caller received the complete answer. */
  public boolean finished() {
    return finished;
  }

  /** Returns the refusal, if the request was refused. */
  public Optional<Refusal> refusal() {
    return Optional.ofNullable(refusal);
  }

  /** Returns the time from sending to the first byte, or -1 if none arrived. */
  public long timeToStartMs() {
    return startedAtMs == UNSET ? UNSET : startedAtMs - sentAtMs;
  }

  /** Returns the time from sending to the answer or refusal, or -1 if none arrived. */
  public long timeToEndMs() {
    return endedAtMs == UNSET ? UNSET : endedAtMs - sentAtMs;
  }

  /** Returns the time from sending to the last dispatch, or -1 if there was none. */
  public long timeToDispatchMs() {
    return dispatchedAtMs == UNSET ? UNSET : dispatchedAtMs - sentAtMs;
  }

  /** Returns the back end of the last attempt, if any was dispatched. */
  public Optional<BackendId> lastBackend() {
    return Optional.ofNullable(lastBackend);
  }

  /** Returns how many attempts were dispatched. */
  public int attempts() {
    return attempts;
  }
}
