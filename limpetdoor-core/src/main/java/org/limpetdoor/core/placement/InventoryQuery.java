package org.limpetdoor.core.placement;

/**
 * Tells when an inventory was asked for. The inventory is a state of the engine at or after this.
 *
 * @param requestedAtMs when, in monotonic milliseconds of the asking instance
 * @param asOfOffset next offset of the asking instance at that time
 */
public record InventoryQuery(long requestedAtMs, long asOfOffset) {}
