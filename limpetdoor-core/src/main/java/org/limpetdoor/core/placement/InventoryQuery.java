package org.limpetdoor.core.placement;

/**
 * Time at which an inventory was requested. The inventory shows the engine at this time or later.
 *
 * @param requestedAtMs time of the request, in monotonic milliseconds of the requesting instance
 * @param asOfOffset next offset of the requesting instance at that time
 */
public record InventoryQuery(long requestedAtMs, long asOfOffset) {}
