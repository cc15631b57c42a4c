/** Runs reducers: the control thread and its clock. */
package org.limpetdoor.runtime;
