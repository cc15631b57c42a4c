package org.limpetdoor.core.request;

import java.util.OptionalLong;

/** Why a caller gets no answer, and whether its request ran. */
public sealed interface Refusal {
  /** Returns the reason. */
  RefusalReason reason();

  /** Returns the time after which a new try makes sense, in milliseconds. */
  OptionalLong retryAfterMs();

  /** Returns what the caller may conclude about the request. */
  Outcome outcome();

  /** No byte of the request reached a back end, or the back end said that it did not start. */
  record NotRun(RefusalReason reason, OptionalLong retryAfterMs) implements Refusal {
    @Override
    public Outcome outcome() {
      return Outcome.NOT_RUN;
    }
  }

  /** The request may have run, in part or as a whole. */
  record OutcomeUnknown(RefusalReason reason, OptionalLong retryAfterMs) implements Refusal {
    @Override
    public Outcome outcome() {
      return Outcome.UNKNOWN;
    }
  }

  /** Returns a refusal of a request that did not run, without advice on when to try again. */
  static Refusal notRun(RefusalReason reason) {
    return new NotRun(reason, OptionalLong.empty());
  }

  /** Returns a refusal of a request that did not run. */
  static Refusal notRun(RefusalReason reason, long retryAfterMs) {
    return new NotRun(reason, OptionalLong.of(retryAfterMs));
  }

  /** Returns a refusal of a request that may have run. */
  static Refusal outcomeUnknown(RefusalReason reason) {
    return new OutcomeUnknown(reason, OptionalLong.empty());
  }
}
