/** The configuration document that operators publish. */
package org.limpetdoor.format.configuration;
