package org.limpetdoor.core;

import java.util.Optional;
import org.pcollections.TreePSet;

/**
 * Pending timers, ordered by due time.
 *
 * @param pending the timers
 */
public record Timers(TreePSet<Timer> pending) {
  /** No timers. */
  public static final Timers NONE = new Timers(TreePSet.empty());

  /** Returns a copy with an additional timer. */
  public Timers plus(Timer timer) {
    return new Timers(pending.plus(timer));
  }

  /** Returns a copy without the given timer. */
  public Timers minus(Timer timer) {
    return new Timers(pending.minus(timer));
  }

  /** Returns the due time of the earliest timer, or {@link Timed#NEVER_MS}. */
  public long nextDeadlineMs() {
    return pending.isEmpty() ? Timed.NEVER_MS : pending.first().dueMs();
  }

  /** Returns the earliest timer if it is due at the given time. */
  public Optional<Timer> firstDue(long nowMs) {
    return nextDeadlineMs() <= nowMs ? Optional.of(pending.first()) : Optional.empty();
  }
}
