/** Open requests and their attempts: executes effects and submits events. */
package org.limpetdoor.entry.traffic;
