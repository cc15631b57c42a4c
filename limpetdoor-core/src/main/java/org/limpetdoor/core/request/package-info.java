/** Decisions about requests: admission, queues, routing, attempts and refusals. */
package org.limpetdoor.core.request;
