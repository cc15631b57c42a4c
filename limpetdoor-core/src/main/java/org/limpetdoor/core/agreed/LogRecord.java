package org.limpetdoor.core.agreed;

import org.limpetdoor.core.config.ConfigurationPatch;

/**
 * A record of the platform log. The fold of all records gives each instance the same agreed state.
 */
public sealed interface LogRecord {
  /**
   * An operator published a change of the configuration.
   *
   * @param baseVersion version that the operator edited; the record is rejected if another is in
   *     force
   * @param publisher name of the operator
   * @param patch the change
   */
  record ConfigurationPublished(long baseVersion, String publisher, ConfigurationPatch patch)
      implements LogRecord {}

  /**
   * A record of a kind that this version does not know. It is kept and skipped.
   *
   * @param kind name of the kind
   */
  record Unknown(String kind) implements LogRecord {}

  /**
   * A record that only later versions may fold. Passing over it would let instances of two versions
   * disagree.
   *
   * @param minReaderVersion lowest reader version that may fold the record
   * @param readerVersion reader version of this instance, which is lower
   */
  record LaterReaderNeeded(long minReaderVersion, long readerVersion) implements LogRecord {}
}
