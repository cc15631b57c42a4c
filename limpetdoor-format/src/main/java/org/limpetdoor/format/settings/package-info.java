/** Settings of one instance. */
package org.limpetdoor.format.settings;
