/** The entry instance: HTTP servers for callers and operators, and HTTP client of back ends. */
package org.limpetdoor.entry;
