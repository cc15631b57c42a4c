/**
 * Simple stand-ins for the external systems: engine, plain service, log service, instance list and
 * weight store. Each runs an HTTP server on a loopback address.
 */
package org.limpetdoor.standin;
