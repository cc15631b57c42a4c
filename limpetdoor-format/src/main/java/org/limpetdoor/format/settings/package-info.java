/** The settings of one instance and their reader. */
package org.limpetdoor.format.settings;
