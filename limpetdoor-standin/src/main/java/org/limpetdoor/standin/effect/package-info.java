/** Effects of the stand-ins and what carries them out. */
package org.limpetdoor.standin.effect;
