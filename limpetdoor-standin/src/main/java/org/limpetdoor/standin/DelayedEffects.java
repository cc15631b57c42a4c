package org.limpetdoor.standin;

import java.util.List;
import org.limpetdoor.core.Timed;
import org.limpetdoor.standin.effect.StandinEffect;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Effects that are carried out at a later time.
 *
 * @param entries the effects in the order in which they were added
 */
public record DelayedEffects(PVector<Entry> entries) implements Timed {
  /** No effects. */
  public static final DelayedEffects NONE = new DelayedEffects(TreePVector.empty());

  /**
   * Returns a copy with one more effect that is due at the given time, in monotonic milliseconds.
   */
  public DelayedEffects plus(long dueMs, StandinEffect effect) {
    return new DelayedEffects(entries.plus(new Entry(dueMs, effect)));
  }

  /** Returns the effects that are due at the given time. */
  public List<StandinEffect> dueAt(long nowMs) {
    return entries.stream().filter(entry -> entry.dueMs <= nowMs).map(Entry::effect).toList();
  }

  /** Returns a copy without the effects that are due at the given time. */
  public DelayedEffects dueAfter(long nowMs) {
    return new DelayedEffects(
        TreePVector.from(entries.stream().filter(entry -> entry.dueMs > nowMs).toList()));
  }

  @Override
  public long nextDeadlineMs() {
    return entries.stream().mapToLong(Entry::dueMs).min().orElse(NEVER_MS);
  }

  /** An effect and its due time in monotonic milliseconds. */
  public record Entry(long dueMs, StandinEffect effect) {}
}
