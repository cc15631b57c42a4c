/**
 * Traffic side of a gateway: callers and engines over HTTP, peers, and the effects of the reducer.
 * All connections belong to one traffic thread.
 */
package org.limpetdoor.gateway;
