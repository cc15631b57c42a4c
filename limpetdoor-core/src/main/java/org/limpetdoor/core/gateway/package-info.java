/**
 * Calls that are forwarded by route: the configuration of routes, the engines behind them, open
 * calls, retries, and the models and adapters that the holder of the placement duty orders.
 */
package org.limpetdoor.core.gateway;
