/**
 * Links between instances: TCP, length-prefixed frames, mutual authentication with a shared secret.
 */
package org.limpetdoor.runtime.peer;
