/** Codecs of the frames between instances. */
package org.limpetdoor.format.peer;
