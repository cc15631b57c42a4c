/** The encoding of log records. */
package org.limpetdoor.format.record;
