/**
 * Links between instances: length-prefixed frames over TCP with mutual authentication by a shared
 * secret.
 */
package org.limpetdoor.runtime.peer;
