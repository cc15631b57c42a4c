/** Everything that the reducer can be told. */
package org.limpetdoor.core.event;
