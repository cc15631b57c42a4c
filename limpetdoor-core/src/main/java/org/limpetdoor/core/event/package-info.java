/** Events: all inputs of the reducer. */
package org.limpetdoor.core.event;
