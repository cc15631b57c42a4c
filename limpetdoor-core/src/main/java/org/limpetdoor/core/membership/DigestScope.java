package org.limpetdoor.core.membership;

/** The instances that a digest covers. */
public enum DigestScope {
  /** The sender, which is a spoke of the receiver. */
  INSTANCE(true),
  /** The sender, which is a hub, and its spokes. */
  GROUP(true),
  /** All instances but the receiver, which is a spoke of the sender. */
  FLEET(false);

  private final boolean addsUpAtHub;

  DigestScope(boolean addsUpAtHub) {
    this.addsUpAtHub = addsUpAtHub;
  }

  /**
   * Returns whether an instance in the given role counts a digest of this scope. A hub that counted
   * digests about the whole fleet would count most instances twice.
   */
  public boolean countsFor(FleetRole role) {
    return addsUpAtHub || role == FleetRole.SPOKE;
  }
}
