/** Effects: actions that the reducer requests from the traffic threads. */
package org.limpetdoor.core.effect;
