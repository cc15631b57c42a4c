package org.limpetdoor.core.agreed;

/**
 * Identifies one append, so that it can be repeated when its answer was lost.
 *
 * @param appender name of the appending process and its incarnation
 * @param sequence sequence number within the appender, from 1
 */
public record AppendId(String appender, long sequence) {}
