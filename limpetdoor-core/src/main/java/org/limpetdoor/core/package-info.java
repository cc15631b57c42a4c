/**
 * The decisions of an instance as one pure reducer: it takes an immutable state and an event and
 * returns a new state and effects. The module uses no clock, randomness, threads or I/O, so that
 * recorded runs can be replayed.
 */
package org.limpetdoor.core;
