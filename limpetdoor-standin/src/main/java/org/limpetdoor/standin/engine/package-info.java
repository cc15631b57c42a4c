/** Stand-in of the model engine. */
package org.limpetdoor.standin.engine;
