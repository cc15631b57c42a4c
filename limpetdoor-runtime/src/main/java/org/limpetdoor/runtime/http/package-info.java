/**
 * Bounds on what the callers of an HTTP listener may hold in memory and in decoding time, shared by
 * all processes. The limits are values of {@code org.limpetdoor.core.limits}.
 */
package org.limpetdoor.runtime.http;
