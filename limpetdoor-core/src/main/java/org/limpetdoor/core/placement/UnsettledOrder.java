package org.limpetdoor.core.placement;

import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.placement.OrderTracker.PendingOrder;

/**
 * An unsettled order with what is known of it.
 *
 * @param engine the engine
 * @param intent the intent in the log
 * @param pending what this process does about it
 */
record UnsettledOrder(Engine engine, Intent intent, PendingOrder pending) {}
