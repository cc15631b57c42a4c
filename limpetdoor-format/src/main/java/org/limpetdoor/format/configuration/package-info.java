/** Readers and writer of the configuration documents and patches that operators publish. */
package org.limpetdoor.format.configuration;
