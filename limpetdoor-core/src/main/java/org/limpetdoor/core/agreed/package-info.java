/** The state that all instances share: the fold of the records of the platform log. */
package org.limpetdoor.core.agreed;
