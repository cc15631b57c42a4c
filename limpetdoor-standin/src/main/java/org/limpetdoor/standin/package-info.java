/**
 * Small stand-ins for the outside systems: engine, plain service, log service, instance list,
 * weight store.
 */
package org.limpetdoor.standin;
