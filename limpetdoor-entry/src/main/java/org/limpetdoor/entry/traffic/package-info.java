/** Open requests and their attempts: carries out effects and reports events. */
package org.limpetdoor.entry.traffic;
