/**
 * HTTP front end of a gateway: connections to callers, engines and peers, and the execution of the
 * reducer's effects. One traffic thread handles all connections.
 */
package org.limpetdoor.gateway;
