/**
 * Control logic for calls that are forwarded by route: route configuration, engine state, open
 * calls, retries, and the orders for models and adapters that the holder of the placement duty
 * sends to engines.
 */
package org.limpetdoor.core.gateway;
