package org.limpetdoor.scenario;

import java.util.LinkedHashSet;

/** A bounded cache of keys that evicts the least recently used key. */
final class LruSet<K> {
  private final int capacity;
  private final LinkedHashSet<K> keys = new LinkedHashSet<>();

  LruSet(int capacity) {
    this.capacity = capacity;
  }

  /** Marks a key as most recently used, and returns whether it was in the cache. */
  boolean use(K key) {
    boolean hit = keys.remove(key);
    keys.add(key);
    if (keys.size() > capacity) {
      keys.remove(keys.iterator().next());
    }
    return hit;
  }

  void clear() {
    keys.clear();
  }
}
