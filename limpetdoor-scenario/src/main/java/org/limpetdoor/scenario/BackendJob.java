package org.limpetdoor.scenario;

import java.util.Comparator;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.request.RequestSpec;

/** One attempt at a fake back end. */
final class BackendJob {
  static final Comparator<BackendJob> ORDER =
      Comparator.<BackendJob>comparingInt(job -> job.priority)
          .thenComparingLong(job -> job.arrivalNumber);

  final AttemptId attempt;
  final RequestSpec spec;
  final int outputTokens;
  final int resumeAtToken;

  /** Position in the order of arrival at the back end, over all instances. */
  long arrivalNumber;

  final AttemptListener listener;
  int priority;
  boolean running;
  boolean ended;
  boolean silent;
  boolean losesReply;
  long firstTokenAtMs = Long.MAX_VALUE;
  double tokenMs;
  int previousTokens;
  int preemptions;

  BackendJob(
      AttemptId attempt,
      RequestSpec spec,
      int outputTokens,
      int resumeAtToken,
      int priority,
      AttemptListener listener) {
    this.attempt = attempt;
    this.spec = spec;
    this.outputTokens = outputTokens;
    this.resumeAtToken = resumeAtToken;
    this.previousTokens = resumeAtToken;
    this.priority = priority;
    this.listener = listener;
  }

  /** Returns the number of output tokens produced by the given time, including earlier attempts. */
  int tokensAt(long nowMs) {
    if (nowMs < firstTokenAtMs) {
      return previousTokens;
    }
    int produced = previousTokens + 1 + (int) ((nowMs - firstTokenAtMs) / Math.max(tokenMs, 1e-9));
    return Math.min(outputTokens, produced);
  }
}
