/** Scenarios on virtual time that run the reducer against fake callers and back ends. */
package org.limpetdoor.scenario;
