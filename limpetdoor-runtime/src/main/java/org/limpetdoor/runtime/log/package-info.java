/** Client of the platform's log service. */
package org.limpetdoor.runtime.log;
