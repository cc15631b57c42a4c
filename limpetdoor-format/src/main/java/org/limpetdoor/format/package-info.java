/**
 * Codecs: JSON with comments for people, MessagePack between processes. Decisions never depend on
 * this package.
 */
package org.limpetdoor.format;
