/** Runs reducers: the control thread, time, and what every program needs around it. */
package org.limpetdoor.runtime;
