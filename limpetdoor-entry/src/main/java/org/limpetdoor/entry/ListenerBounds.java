package org.limpetdoor.entry;

import java.util.function.Consumer;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.limits.ConnectionThreshold;
import org.limpetdoor.runtime.http.BodyMemories;

/**
 * Bounds on the connections of one listener.
 *
 * @param connections decides about a new connection
 * @param maxHeaderBytes longest request head, in bytes
 * @param maxBodyBytes longest request body, in bytes
 * @param memories memories of the messages of all listeners
 * @param overload receives the reason for each connection or head that is refused
 */
record ListenerBounds(
    ConnectionThreshold connections,
    int maxHeaderBytes,
    int maxBodyBytes,
    BodyMemories memories,
    Consumer<OverloadReason> overload) {}
