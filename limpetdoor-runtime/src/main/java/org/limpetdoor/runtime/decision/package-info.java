/** Log lines and counters of decisions, and the recent decisions for explanations. */
package org.limpetdoor.runtime.decision;
