/** Step definitions of the scenario language, described in docs/scenarios.md. */
package org.limpetdoor.scenario.steps;
