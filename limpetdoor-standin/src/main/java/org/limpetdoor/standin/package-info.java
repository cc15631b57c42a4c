/**
 * Small stand-ins for the outside systems: engine, plain service, log service, instance list,
 * weight store. Each keeps its state in a pure reducer run by a control loop; HTTP handlers only
 * turn requests into events and effects into answers.
 */
package org.limpetdoor.standin;
