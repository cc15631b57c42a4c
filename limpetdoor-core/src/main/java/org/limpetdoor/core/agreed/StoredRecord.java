package org.limpetdoor.core.agreed;

/**
 * A record as read from the log.
 *
 * @param offset position in the log, from 0
 * @param envelope the record with the identifier of its append
 */
public record StoredRecord(long offset, Envelope envelope) {}
