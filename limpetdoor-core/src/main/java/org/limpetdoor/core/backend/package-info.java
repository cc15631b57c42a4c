/** What this instance knows about back ends: requests in flight, health, load. */
package org.limpetdoor.core.backend;
