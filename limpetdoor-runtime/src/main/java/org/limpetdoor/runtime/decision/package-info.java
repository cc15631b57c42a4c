/** Log lines, counters and explanations of decisions. */
package org.limpetdoor.runtime.decision;
