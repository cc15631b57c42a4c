/** Scenarios on virtual time that drive the reducer with small fakes at its interfaces. */
package org.limpetdoor.scenario;
