/** Stand-in of the append-only log service. */
package org.limpetdoor.standin.log;
