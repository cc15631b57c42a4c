package org.limpetdoor.core.agreed;

import org.limpetdoor.core.config.Configuration;

/**
 * The head of the configuration history.
 *
 * @param version offset of the accepted publication in force, or {@link AgreedState#NO_VERSION}
 * @param content the content in force
 */
public record ConfigurationHead(long version, Configuration content) {}
