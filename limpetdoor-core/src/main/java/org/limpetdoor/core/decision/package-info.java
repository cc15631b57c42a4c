/** Typed reasons of decisions, from which log lines, metrics and explanations are made. */
package org.limpetdoor.core.decision;
