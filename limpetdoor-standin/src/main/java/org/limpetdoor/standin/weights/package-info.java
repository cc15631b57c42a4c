/** Stand-in of the weight store. */
package org.limpetdoor.standin.weights;
