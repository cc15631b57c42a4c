/** Typed identifiers. */
package org.limpetdoor.core.id;
