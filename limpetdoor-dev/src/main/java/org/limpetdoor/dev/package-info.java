/** One process with an entry instance and all stand-ins, for a first try. */
package org.limpetdoor.dev;
