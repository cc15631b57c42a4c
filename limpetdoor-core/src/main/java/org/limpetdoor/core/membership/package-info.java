/** Which instances exist and which of them are reachable or leaving. */
package org.limpetdoor.core.membership;
