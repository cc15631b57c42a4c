/** Benchmarks and measurements. */
package org.limpetdoor.bench;
