package org.limpetdoor.core.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.limpetdoor.core.gateway.account.Credential;

/**
 * The properties of a call on which routing depends, as the front end read them. The request body
 * stays with the threads that handle traffic.
 *
 * @param id number of the call, unique in this process
 * @param callerAttemptId identifier chosen by the caller, used in log lines
 * @param host requested host
 * @param path requested path, without the query
 * @param timeLeftMs time until the caller's deadline, in milliseconds, if the caller sent one
 * @param model requested model or adapter, if any
 * @param promptTokens length of the prompt, in tokens
 * @param statedTokens tokens of the prompt and the most that may be generated, if the caller stated
 *     them
 * @param affinityHash hash of the shared prefix of the prompt; 0 means no affinity
 * @param sharedPromptParts identifiers of the prompt parts that other requests may share, in order;
 *     the last part of a prompt is the request's own and is not among them
 * @param fingerprint hash of path, model and body, by which a repeated request is recognised
 * @param credential what the caller presented to identify its account
 */
public record CallSpec(
    long id,
    String callerAttemptId,
    String host,
    String path,
    Optional<Integer> timeLeftMs,
    Optional<ModelKey> model,
    int promptTokens,
    OptionalLong statedTokens,
    long affinityHash,
    List<Long> sharedPromptParts,
    long fingerprint,
    Credential credential) {
  /** Copies the parts. */
  public CallSpec {
    sharedPromptParts = List.copyOf(sharedPromptParts);
  }
}
