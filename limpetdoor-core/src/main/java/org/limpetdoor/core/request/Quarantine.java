package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.backend.BackendTable;
import org.limpetdoor.core.backend.CrashSuspects;
import org.limpetdoor.core.decision.PassOverReason;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.request.Target.ModelTarget;

/** Finds requests that crash engines: charges crashes, and lets suspects run alone. */
final class Quarantine {
  /** Connections of a crashed engine break within this time of each other. */
  private static final long SAME_CRASH_MS = 1_000;

  private Quarantine() {}

  /** Returns whether the request is refused because it crashed engines. */
  static boolean isBanned(NodeState state, RequestSpec spec) {
    return state.backends().suspects().bans(spec.fingerprint(), state.nowMs());
  }

  /** Returns the request in the pool for suspects, if it is one. */
  static RequestState classify(NodeState state, RequestState request) {
    boolean suspect =
        request.spec().target() instanceof ModelTarget
            && state.backends().suspects().suspects(request.spec().fingerprint(), state.nowMs());
    return suspect ? request.withPlan(request.plan().withClass(WorkClass.SUSPECT)) : request;
  }

  /**
   * Charges a broken connection to an engine as a crash of the engine. Connections of plain
   * services also break when they were idle, and many calls share a fingerprint, so these are not
   * charged.
   */
  static NodeState recordLostConnection(
      NodeState state, RequestState request, ActiveAttempt attempt) {
    BackendId backend = attempt.backend();
    BackendState backendState = state.backends().get(backend);
    if (!(request.spec().target() instanceof ModelTarget)
        || isSameCrash(state, backendState, attempt)) {
      return state;
    }
    CrashSuspects suspects = state.backends().suspects();
    CrashSuspects updatedSuspects =
        backendState.attempts().alone()
            ? suspects.withCrashAlone(request.spec().fingerprint(), state.nowMs())
            : suspects.withCrash(backendState.attempts().fingerprints().values(), state.nowMs());
    BackendTable table = state.backends().update(backend, b -> b.withCrash(state.nowMs()));
    return state.withBackends(table.withSuspects(updatedSuspects));
  }

  /** Notes that a request ran to its end without a crash. */
  static NodeState recordCompletion(NodeState state, RequestState request) {
    CrashSuspects suspects = state.backends().suspects();
    CrashSuspects next = suspects.withCompleted(request.spec().fingerprint(), state.nowMs());
    return next == suspects ? state : state.withBackends(state.backends().withSuspects(next));
  }

  /** Returns why a suspect must not share the back end, or another request must not join it. */
  static Optional<PassOverReason> passOverReason(
      NodeState state, RequestState request, BackendState backendState, BackendId backend) {
    if (request.plan().pool().workClass() == WorkClass.SUSPECT) {
      return backendState.inFlight() > 0 ? Optional.of(PassOverReason.NOT_IDLE) : Optional.empty();
    }
    boolean reserved =
        backendState.attempts().alone() || isReservedForSuspect(state, request, backend);
    return reserved ? Optional.of(PassOverReason.RESERVED_FOR_SUSPECT) : Optional.empty();
  }

  /**
   * Keeps new work off one engine while a suspect waits, or the suspect would never find an idle
   * one under load. A sole engine is not kept free.
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
        && !backendState.departure().holdsAt(state.nowMs())
        && backendState.unreachableUntilMs() <= state.nowMs();
  }

  private static boolean isSameCrash(
      NodeState state, BackendState backendState, ActiveAttempt attempt) {
    return backendState.crashedAtMs() >= attempt.sentAtMs()
        && state.nowMs() - backendState.crashedAtMs() < SAME_CRASH_MS;
  }
}
