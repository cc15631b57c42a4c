/** The part of each contract limit that this instance holds. */
package org.limpetdoor.core.limits;
