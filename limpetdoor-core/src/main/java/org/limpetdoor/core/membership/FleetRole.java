package org.limpetdoor.core.membership;

/** Roles of an instance in the exchange of messages between instances. */
public enum FleetRole {
  /**
   * Exchanges messages with the other hubs and with the spokes that chose it, reads the store for
   * them, and may hold the placement duty.
   */
  HUB(true),
  /** Exchanges messages with one hub of its zone only, which passes on what it reads. */
  SPOKE(false);

  private final boolean readsStore;

  FleetRole(boolean readsStore) {
    this.readsStore = readsStore;
  }

  /** Returns whether an instance in this role reads the store while its facts are up to date. */
  public boolean readsStore() {
    return readsStore;
  }
}
