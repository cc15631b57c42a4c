package org.limpetdoor.scenario;

import java.util.Locale;
import org.limpetdoor.core.request.AttemptFailure;

/** Faults that a fake back end applies to single attempts. */
public enum BackendFault {
  /** The connection breaks after the back end received the request and before it runs. */
  LOST_BEFORE_RUNNING(false, false) {
    @Override
    void applyTo(FakeBackend backend, BackendJob job) {
      backend.fail(job, AttemptFailure.CONNECTION_LOST);
    }
  },
  /** The back end answers with an error after the request started. */
  ERROR_ANSWER(false, false) {
    @Override
    void applyTo(FakeBackend backend, BackendJob job) {
      backend.fail(job, AttemptFailure.ERROR_ANSWER);
    }
  },
  /** The request runs to its end, and the connection breaks before the answer is sent. */
  REPLY_LOST(true, false),
  /** The request runs, but nothing is sent on its connection. */
  SILENT(false, true);

  private final boolean losesReply;
  private final boolean silent;

  BackendFault(boolean losesReply, boolean silent) {
    this.losesReply = losesReply;
    this.silent = silent;
  }

  /** Returns the name used in scenarios. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  void applyTo(FakeBackend backend, BackendJob job) {
    job.losesReply = losesReply;
    job.silent = silent;
    backend.enqueue(job);
  }
}
