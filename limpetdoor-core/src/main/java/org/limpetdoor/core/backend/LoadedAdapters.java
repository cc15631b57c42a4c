package org.limpetdoor.core.backend;

import org.limpetdoor.core.id.AdapterId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Adapters that an engine probably holds, because this instance sent it requests for them recently.
 *
 * @param recent adapters, the most recently used one last
 */
public record LoadedAdapters(PVector<AdapterId> recent) {
  /** No adapters. */
  public static final LoadedAdapters NONE = new LoadedAdapters(TreePVector.empty());

  /** Engines keep a limited number of adapters loaded; older ones are assumed to be unloaded. */
  private static final int MAX_LOADED = 16;

  /** Returns whether the engine probably holds the adapter. */
  public boolean holds(AdapterId adapter) {
    return recent.contains(adapter);
  }

  /** Returns a copy with an adapter as the most recently used one. */
  public LoadedAdapters withUsed(AdapterId adapter) {
    PVector<AdapterId> next = recent.minus(adapter).plus(adapter);
    return new LoadedAdapters(next.size() > MAX_LOADED ? next.minus(0) : next);
  }
}
