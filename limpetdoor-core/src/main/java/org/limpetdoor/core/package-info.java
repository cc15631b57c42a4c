/**
 * The decisions of an instance as one pure reducer: immutable state and an event in, new state and
 * effects out. The module has no clock, randomness, threads or I/O, so that a recorded run can be
 * replayed.
 */
package org.limpetdoor.core;
