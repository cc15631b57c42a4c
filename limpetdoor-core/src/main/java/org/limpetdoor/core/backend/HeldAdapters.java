package org.limpetdoor.core.backend;

import org.limpetdoor.core.id.AdapterId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Adapters that an engine was last sent requests for, and therefore probably holds.
 *
 * @param recent adapters, last used at the end
 */
public record HeldAdapters(PVector<AdapterId> recent) {
  /** No adapters. */
  public static final HeldAdapters NONE = new HeldAdapters(TreePVector.empty());

  /** Engines keep a limited number of adapters loaded; older ones are taken as dropped. */
  private static final int MAX_HELD = 16;

  /** Returns whether the engine probably holds the adapter. */
  public boolean holds(AdapterId adapter) {
    return recent.contains(adapter);
  }

  /** Returns a copy after the use of an adapter. */
  public HeldAdapters withUsed(AdapterId adapter) {
    PVector<AdapterId> next = recent.minus(adapter).plus(adapter);
    return new HeldAdapters(next.size() > MAX_HELD ? next.minus(0) : next);
  }
}
