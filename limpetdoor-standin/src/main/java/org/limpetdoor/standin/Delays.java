package org.limpetdoor.standin;

import java.util.List;
import org.limpetdoor.core.Timed;
import org.limpetdoor.standin.effect.StandinEffect;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Effects that are held back until a time.
 *
 * @param entries the effects in order of arrival
 */
public record Delays(PVector<Entry> entries) implements Timed {
  /** No effects. */
  public static final Delays NONE = new Delays(TreePVector.empty());

  /** Returns a copy that holds back one more effect until a time in monotonic milliseconds. */
  public Delays plus(long dueMs, StandinEffect effect) {
    return new Delays(entries.plus(new Entry(dueMs, effect)));
  }

  /** Returns the effects that are due. */
  public List<StandinEffect> due(long nowMs) {
    return entries.stream().filter(e -> e.dueMs <= nowMs).map(Entry::effect).toList();
  }

  /** Returns a copy without the effects that are due. */
  public Delays after(long nowMs) {
    return new Delays(TreePVector.from(entries.stream().filter(e -> e.dueMs > nowMs).toList()));
  }

  @Override
  public long nextDeadlineMs() {
    return entries.stream().mapToLong(Entry::dueMs).min().orElse(NEVER_MS);
  }

  /** An effect and its time. */
  public record Entry(long dueMs, StandinEffect effect) {}
}
