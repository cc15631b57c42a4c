/** The HTTP server for operators. */
package org.limpetdoor.entry.operator;
