/** The command line for operators. */
package org.limpetdoor.cli;
