/** Encoding of the frames between instances. */
package org.limpetdoor.format.peer;
