package org.limpetdoor.core.agreed;

/**
 * A record with the identifier of its append.
 *
 * @param id identifier of the append
 * @param content the record
 */
public record Envelope(AppendId id, LogRecord content) {}
