/** Membership of the fleet: listed instances, links between them and messages on these links. */
package org.limpetdoor.core.membership;
