/** Stand-in of the instance list. */
package org.limpetdoor.standin.instances;
