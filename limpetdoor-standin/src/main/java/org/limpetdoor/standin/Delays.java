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
public record Delays(PVector<Entry> entries) implements Timed {
  /** No effects. */
  public static final Delays NONE = new Delays(TreePVector.empty());

  /**
   * Returns a copy with one more effect that is due at the given time, in monotonic milliseconds.
   */
  public Delays plus(long dueMs, StandinEffect effect) {
    return new Delays(entries.plus(new Entry(dueMs, effect)));
  }

  /** Returns the effects that are due at the given time. */
  public List<StandinEffect> due(long nowMs) {
    return entries.stream().filter(e -> e.dueMs <= nowMs).map(Entry::effect).toList();
  }

  /** Returns a copy without the effects that are due at the given time. */
  public Delays after(long nowMs) {
    return new Delays(TreePVector.from(entries.stream().filter(e -> e.dueMs > nowMs).toList()));
  }

  @Override
  public long nextDeadlineMs() {
    return entries.stream().mapToLong(Entry::dueMs).min().orElse(NEVER_MS);
  }

  /** An effect and its due time in monotonic milliseconds. */
  public record Entry(long dueMs, StandinEffect effect) {}
}
