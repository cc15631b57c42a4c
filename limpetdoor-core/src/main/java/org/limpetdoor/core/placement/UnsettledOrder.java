package org.limpetdoor.core.placement;

import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.placement.OrderTracker.PendingOrder;

/**
 * An unsettled order with its engine and its settlement.
 *
 * @param engine the engine
 * @param intent the intent in the log
 * @param pending its settlement by this process
 */
record UnsettledOrder(Engine engine, Intent intent, PendingOrder pending) {}
