package org.limpetdoor.runtime.decision;

import io.micrometer.core.instrument.MeterRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.decision.Decision.Field;

/** Logs and counts each decision and keeps the most recent ones for explanations. */
public final class DecisionRecorder {
  /** Bounds the memory to about 5 MB when each decision has a dozen candidates. */
  static final int MAX_RECENT_DECISIONS = 10_000;

  private static final Logger LOG = System.getLogger(DecisionRecorder.class.getName());

  private final MeterRegistry metrics;
  private final BlockingQueue<Decision> recentDecisions =
      new ArrayBlockingQueue<>(MAX_RECENT_DECISIONS);

  /** Creates a recorder that registers its counters with the given registry. */
  public DecisionRecorder(MeterRegistry metrics) {
    this.metrics = metrics;
  }

  /** Records a decision. Must be called by the control thread only. */
  public void record(Decision decision) {
    Level level = decision.kind().needsOperator() ? Level.ERROR : Level.INFO;
    LOG.log(level, LogLine.of(decision).toString());
    metrics
        .counter(
            "limpetdoor.decisions", "kind", decision.kind().eventName(), "reason", reason(decision))
        .increment();
    while (!recentDecisions.offer(decision)) {
      recentDecisions.poll();
    }
  }

  /** Returns the recent decisions about a subject, oldest first. */
  public List<Decision> recentDecisionsAbout(String subject) {
    return recentDecisions.stream().filter(decision -> decision.subject().equals(subject)).toList();
  }

  private static String reason(Decision decision) {
    return decision.fields().stream()
        .filter(field -> field.key().equals("reason"))
        .map(Field::value)
        .findFirst()
        .orElse("none");
  }
}
