package org.limpetdoor.core.agreed;

/**
 * Identifies one append, so that it can be repeated safely if its answer is lost.
 *
 * @param appender name of the appending process and its incarnation
 * @param sequence sequence number within the appender, from 1
 */
public record AppendId(String appender, long sequence) {}
