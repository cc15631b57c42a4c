/** The share of each contract limit that this instance may use. */
package org.limpetdoor.core.limits;
