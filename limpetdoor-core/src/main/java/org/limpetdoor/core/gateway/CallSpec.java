package org.limpetdoor.core.gateway;

import java.util.Optional;

/**
 * What a front end knows of a call when it has read it. The bytes stay on the traffic side.
 *
 * @param id number of the call in this process
 * @param label identifier that the caller gave, for log lines
 * @param host host that the caller named
 * @param path path without query
 * @param timeLeftMs time for which the caller waits, in milliseconds, if it said so
 * @param model model or adapter that is called, if any
 * @param promptTokens length of the prompt, in tokens
 * @param affinityHash hash of the shared start of the prompt; 0 means no affinity
 * @param fingerprint hash of path, model and body; tells that the same request comes again
 */
public record CallSpec(
    long id,
    String label,
    String host,
    String path,
    Optional<Integer> timeLeftMs,
    Optional<ModelKey> model,
    int promptTokens,
    long affinityHash,
    long fingerprint) {}
