package org.limpetdoor.core.request;

import java.util.OptionalLong;

/** The refusal of a request, with its reason and whether the request ran. */
public sealed interface Refusal {
  /** Returns the reason for the refusal. */
  RefusalReason reason();

  /** Returns the time after which the caller should retry, in milliseconds, if one is given. */
  OptionalLong retryAfterMs();

  /** Returns whether the request may have run. */
  Outcome outcome();

  /**
   * The back end received no byte of the request, or reported that it did not start the request.
   */
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

  /** Returns a refusal of a request that did not run, without a retry-after time. */
  static Refusal notRun(RefusalReason reason) {
    return new NotRun(reason, OptionalLong.empty());
  }

  /** Returns a refusal of a request that did not run, with a retry-after time in milliseconds. */
  static Refusal notRun(RefusalReason reason, long retryAfterMs) {
    return new NotRun(reason, OptionalLong.of(retryAfterMs));
  }

  /** Returns a refusal of a request that may have run. */
  static Refusal outcomeUnknown(RefusalReason reason) {
    return new OutcomeUnknown(reason, OptionalLong.empty());
  }
}
