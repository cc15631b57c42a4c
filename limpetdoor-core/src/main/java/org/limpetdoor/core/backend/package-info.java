/** State of back ends as seen by this instance: requests in flight, health and load. */
package org.limpetdoor.core.backend;
