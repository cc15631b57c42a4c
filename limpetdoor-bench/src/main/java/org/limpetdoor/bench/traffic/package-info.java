/** Measurement of an entry under streamed traffic on loopback. */
package org.limpetdoor.bench.traffic;
