/** Typed reasons of decisions, from which log lines, metrics and explanations are derived. */
package org.limpetdoor.core.decision;
