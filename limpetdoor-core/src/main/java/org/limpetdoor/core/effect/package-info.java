/** Everything that the reducer can ask the traffic side to do. */
package org.limpetdoor.core.effect;
