/** Decisions about which engine loads which model. */
package org.limpetdoor.core.placement;
