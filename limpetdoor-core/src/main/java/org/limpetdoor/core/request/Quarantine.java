package org.limpetdoor.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.backend.BackendTable;
import org.limpetdoor.core.backend.CrashSuspects;
import org.limpetdoor.core.backend.InFlight;
import org.limpetdoor.core.decision.PassOverReason;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.request.Target.ModelTarget;

/**
 * Isolates requests that crash engines: attributes crashes to the requests in flight, and
 * dispatches suspects to idle engines only.
 */
final class Quarantine {
  /** Time within which all connections of a crashed engine break. */
  private static final long SAME_CRASH_MS = 1_000;

  private Quarantine() {}

  /** Returns whether the request has to be refused because it crashed engines. */
  static boolean isBanned(NodeState state, RequestSpec spec) {
    CrashSuspects suspects = state.backends().suspects();
    return contents(spec).stream().anyMatch(content -> suspects.isBanned(content, state.nowMs()));
  }

  /** Returns the request, moved to the pool for suspects if one of its contents is suspected. */
  static RequestState classify(NodeState state, RequestState request) {
    CrashSuspects suspects = state.backends().suspects();
    boolean suspect =
        request.spec().target() instanceof ModelTarget
            && contents(request.spec()).stream()
                .anyMatch(content -> suspects.isSuspect(content, state.nowMs()));
    return suspect ? request.withPlan(request.plan().withClass(WorkClass.SUSPECT)) : request;
  }

  /**
   * Records a broken connection to an engine as a crash, attributed to the requests in flight on it
   * and to the parts of the prompts that it had not answered for long. Plain services are excluded,
   * because their connections also break after an idle period, and many of their calls share a
   * fingerprint.
   */
  static NodeState recordLostConnection(
      NodeState state, RequestState request, ActiveAttempt attempt) {
    BackendId backend = attempt.backend();
    BackendState backendState = state.backends().get(backend);
    if (!(request.spec().target() instanceof ModelTarget)
        || isSameCrash(state, backendState, attempt)) {
      return state;
    }
    CrashSuspects suspects = withSoundAnswers(state);
    InFlight attempts = backendState.attempts();
    CrashSuspects updatedSuspects =
        attempts.isolated()
            ? suspects.withIsolatedCrash(request.spec().fingerprint(), state.nowMs())
            : suspects.withCrash(attempts.fingerprints().values(), state.nowMs());
    for (List<Long> promptParts : unansweredPrompts(state, request, attempt)) {
      double fraction = 1.0 / Math.max(1, attempts.size());
      updatedSuspects =
          updatedSuspects.withUnansweredPrompt(
              promptParts, fraction, attempts.isolated(), state.nowMs());
    }
    BackendTable table = state.backends().update(backend, b -> b.withCrash(state.nowMs()));
    return state.withBackends(table.withSuspects(updatedSuspects));
  }

  /** Returns the suspects without the parts that answers in progress show to be sound. */
  private static CrashSuspects withSoundAnswers(NodeState state) {
    CrashSuspects suspects = state.backends().suspects();
    for (RequestState request : state.requests().byId().values()) {
      boolean sound =
          request.activeAttempts().stream().anyMatch(a -> a.showsSoundPrompt(state.nowMs()));
      if (sound) {
        suspects = suspects.withAnsweredPrompt(request.spec().sharedPromptParts(), state.nowMs());
      }
    }
    return suspects;
  }

  /**
   * Returns the prompts that a crashed engine had not answered for long. A part of a prompt crashes
   * engines that begin to answer it, so those of the others are not suspected.
   */
  private static List<List<Long>> unansweredPrompts(
      NodeState state, RequestState failed, ActiveAttempt failedAttempt) {
    List<List<Long>> prompts = new ArrayList<>();
    if (!failedAttempt.showsSoundPrompt(state.nowMs())) {
      prompts.add(failed.spec().sharedPromptParts());
    }
    BackendState backendState = state.backends().get(failedAttempt.backend());
    for (AttemptId id : backendState.attempts().fingerprints().keySet()) {
      boolean isFailedAttempt = id.request().equals(failed.spec().id());
      Optional<RequestState> other =
          isFailedAttempt ? Optional.empty() : state.requests().find(id.request());
      other
          .filter(
              found ->
                  found
                      .activeAttempt(id)
                      .filter(a -> !a.showsSoundPrompt(state.nowMs()))
                      .isPresent())
          .ifPresent(found -> prompts.add(found.spec().sharedPromptParts()));
    }
    return prompts;
  }

  /** Records that a request completed without a crash. */
  static NodeState recordCompletion(NodeState state, RequestState request) {
    CrashSuspects suspects = state.backends().suspects();
    return withSuspects(
        state,
        suspects
            .withAnsweredPrompt(request.spec().sharedPromptParts(), state.nowMs())
            .withCompleted(request.spec().fingerprint(), state.nowMs()));
  }

  private static NodeState withSuspects(NodeState state, CrashSuspects suspects) {
    return suspects == state.backends().suspects()
        ? state
        : state.withBackends(state.backends().withSuspects(suspects));
  }

  /** Returns the whole request and the parts of its prompt that other requests may share. */
  private static List<Long> contents(RequestSpec spec) {
    List<Long> contents = new ArrayList<>(spec.sharedPromptParts());
    contents.add(spec.fingerprint());
    return contents;
  }

  /**
   * Returns the reason why the request cannot use the back end: a suspect needs an idle one, and
   * other requests must not use a back end that runs a suspect or is reserved for one.
   */
  static Optional<PassOverReason> passOverReason(
      NodeState state, RequestState request, BackendState backendState, BackendId backend) {
    if (request.plan().pool().workClass() == WorkClass.SUSPECT) {
      return backendState.inFlight() > 0 ? Optional.of(PassOverReason.NOT_IDLE) : Optional.empty();
    }
    boolean reserved =
        backendState.attempts().isolated() || isReservedForSuspect(state, request, backend);
    return reserved ? Optional.of(PassOverReason.RESERVED_FOR_SUSPECT) : Optional.empty();
  }

  /**
   * Returns whether the engine is reserved for a waiting suspect, which would otherwise never find
   * an idle engine under load. The only usable engine is never reserved.
   */
  private static boolean isReservedForSuspect(
      NodeState state, RequestState request, BackendId backend) {
    UpstreamId upstream = request.plan().pool().upstream();
    Optional<RequestState> suspect =
        state
            .requests()
            .pool(new PoolId(upstream, WorkClass.SUSPECT))
            .next()
            .flatMap(waiting -> state.requests().find(waiting.request()));
    if (suspect.isEmpty()) {
      return false;
    }
    long fingerprint = suspect.get().spec().fingerprint();
    Candidate reservedCandidate = null;
    int usableCount = 0;
    for (Candidate candidate :
        state.requests().decisionInputs().routingIndex().candidates(upstream).backends()) {
      if (isUsable(state, suspect.get(), candidate.backend().id())) {
        usableCount++;
        reservedCandidate = preferred(fingerprint, reservedCandidate, candidate);
      }
    }
    return usableCount > 1 && reservedCandidate.backend().id().equals(backend);
  }

  private static Candidate preferred(long fingerprint, Candidate current, Candidate other) {
    return current == null
            || Rendezvous.weight(fingerprint, other.hash())
                > Rendezvous.weight(fingerprint, current.hash())
        ? other
        : current;
  }

  private static boolean isUsable(NodeState state, RequestState suspect, BackendId backend) {
    BackendState backendState = state.backends().get(backend);
    return !suspect.triedBackends().contains(backend)
        && !backendState.leavingStatus().blocksNewWorkAt(state.nowMs())
        && backendState.unreachableUntilMs() <= state.nowMs();
  }

  private static boolean isSameCrash(
      NodeState state, BackendState backendState, ActiveAttempt attempt) {
    return backendState.crashedAtMs() >= attempt.sentAtMs()
        && state.nowMs() - backendState.crashedAtMs() < SAME_CRASH_MS;
  }
}
