/** A development process that runs an entry instance together with all stand-ins. */
package org.limpetdoor.dev;
