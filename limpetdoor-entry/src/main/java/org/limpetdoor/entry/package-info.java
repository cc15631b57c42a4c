/** The entry instance: HTTP server for callers and operators, client of upstreams. */
package org.limpetdoor.entry;
