/**
 * Decisions on how accounts share engines that can't take all calls: the order of waiting calls,
 * the refusal of calls that can't be started in time, and the time to return. They depend on
 * numbers only, and not on calls or engines.
 */
package org.limpetdoor.core.gateway.sharing;
