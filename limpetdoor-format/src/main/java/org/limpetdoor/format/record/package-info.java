/** Codecs of the log records. */
package org.limpetdoor.format.record;
