/** The HTTP server for callers. */
package org.limpetdoor.entry.caller;
