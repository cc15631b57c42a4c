/** Effects of the stand-ins and their handler. */
package org.limpetdoor.standin.effect;
