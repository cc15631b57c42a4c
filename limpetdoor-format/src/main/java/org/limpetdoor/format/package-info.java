/**
 * Codecs: JSON with comments for documents that operators write, MessagePack between processes. The
 * code that makes decisions does not depend on this package.
 */
package org.limpetdoor.format;
