package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.Timed;

/**
 * Evidence that engines crash when they run a content, which is a prompt part or a whole request.
 * Only losses that follow one another count: engines that crash at the same time, for whatever
 * reason, would otherwise look like several crashes by each content that they ran. An answer to a
 * call with the content cancels the losses before it.
 *
 * <p>Doubtful evidence needs more losses: a content that engines have answered lately may only have
 * come together with one that crashes them, and an engine that was lost before it had accepted the
 * whole request may not have read what is suspected.
 *
 * @param losses losses in order, each of a call that was sent after the loss before it
 * @param doubtful whether the evidence is doubtful, as far as this instance or a peer knows
 * @param answeredAtMs time of the last known answer to a call with the content, in monotonic
 *     milliseconds, or {@link #NOT_ANSWERED_MS}
 * @param changedAtMs time of the last change, in monotonic milliseconds
 */
record CrashSuspicion(
    List<EngineLoss> losses, boolean doubtful, long answeredAtMs, long changedAtMs) {
  static final long NOT_ANSWERED_MS = Long.MIN_VALUE;

  static final CrashSuspicion NONE = new CrashSuspicion(List.of(), false, NOT_ANSWERED_MS, 0);

  /** Number of losses from which a content is banned; the platform allows three crashed engines. */
  private static final int MAX_LOSSES = 3;

  /**
   * Number of losses from which a content is banned if the evidence is doubtful; the platform
   * allows three requests after the third crash.
   */
  private static final int MAX_LOSSES_IF_DOUBTFUL = 2 * MAX_LOSSES;

  /** Number of times that the ban doubles, once for each loss beyond those that cause it. */
  private static final int MAX_DOUBLINGS = 3;

  private static final int MAX_KEPT_LOSSES = MAX_LOSSES_IF_DOUBTFUL + MAX_DOUBLINGS;

  /**
   * Time for which a content is banned at first, in milliseconds. An innocent content that was near
   * three crashes by chance is served again after it.
   */
  private static final long INITIAL_BAN_MS = 60_000;

  /**
   * Time since the last loss for which evidence that is too weak for a ban is kept, in
   * milliseconds. Callers stop retrying long before.
   */
  private static final long WEAK_RETENTION_MS = 60_000;

  /** Time for which an answer is kept, so that peers learn of it, in milliseconds. */
  private static final long ANSWER_RETENTION_MS = 5_000;

  /** Copies the losses. */
  CrashSuspicion {
    losses = List.copyOf(losses);
  }

  boolean isBanned(long nowMs) {
    return losses.size() >= maxLosses() && nowMs < bannedUntilMs();
  }

  /** Returns the end of the ban, in monotonic milliseconds; the last loss must have caused one. */
  long bannedUntilMs() {
    return lastLossAtMs() + banMs();
  }

  private long banMs() {
    return INITIAL_BAN_MS << Math.min(MAX_DOUBLINGS, losses.size() - maxLosses());
  }

  private int maxLosses() {
    return doubtful ? MAX_LOSSES_IF_DOUBTFUL : MAX_LOSSES;
  }

  /** Returns whether the evidence no longer matters. A ban is remembered for twice its time. */
  boolean isExpired(long nowMs) {
    if (losses.isEmpty()) {
      return nowMs - answeredAtMs > ANSWER_RETENTION_MS;
    }
    long retentionMs = losses.size() < maxLosses() ? WEAK_RETENTION_MS : 2 * banMs();
    return nowMs - lastLossAtMs() > retentionMs;
  }

  CrashSuspicion withLoss(EngineLoss loss, long nowMs) {
    return withLosses(List.of(loss), nowMs);
  }

  /** Returns the evidence after an answer, or this object if the answer cancels no loss. */
  CrashSuspicion withAnswer(long atMs, long nowMs) {
    List<EngineLoss> later = losses.stream().filter(loss -> loss.lostAtMs() > atMs).toList();
    return later.size() < losses.size()
        ? new CrashSuspicion(later, true, Math.max(answeredAtMs, atMs), nowMs)
        : this;
  }

  /** Returns the evidence as doubtful. */
  CrashSuspicion withDoubt(long nowMs) {
    return doubtful ? this : new CrashSuspicion(losses, true, answeredAtMs, nowMs);
  }

  /** Returns the evidence together with that of a peer, or this object if nothing is new. */
  CrashSuspicion withReport(CrashReport report, long nowMs) {
    List<EngineLoss> reported =
        report.losses().stream()
            .map(
                loss ->
                    new EngineLoss(loss.id(), nowMs - loss.sentAgeMs(), nowMs - loss.lostAgeMs()))
            .toList();
    CrashSuspicion known = withLosses(reported, nowMs);
    CrashSuspicion merged = report.doubtful() ? known.withDoubt(nowMs) : known;
    return report.answeredAgeMs() == CrashReport.NOT_ANSWERED
        ? merged
        : merged.withAnswer(nowMs - report.answeredAgeMs(), nowMs);
  }

  CrashReport toReport(long content, long nowMs) {
    List<CrashReport.Loss> reported =
        losses.stream()
            .map(
                loss ->
                    new CrashReport.Loss(
                        loss.id(), nowMs - loss.sentAtMs(), nowMs - loss.lostAtMs()))
            .toList();
    long answeredAgeMs =
        answeredAtMs == NOT_ANSWERED_MS ? CrashReport.NOT_ANSWERED : nowMs - answeredAtMs;
    return new CrashReport(content, reported, doubtful, answeredAgeMs);
  }

  /**
   * Adds losses. The times of a known loss are replaced, since times that were reported together
   * can be compared with each other.
   */
  private CrashSuspicion withLosses(List<EngineLoss> added, long nowMs) {
    List<EngineLoss> all = new ArrayList<>(added);
    losses.stream()
        .filter(known -> added.stream().noneMatch(known::sameAttemptAs))
        .forEach(all::add);
    List<EngineLoss> merged = inSequence(all);
    return sameAttempts(merged, losses)
        ? this
        : new CrashSuspicion(merged, doubtful, answeredAtMs, nowMs);
  }

  /**
   * Returns the longest sequence of losses since the last answer in which each call was sent after
   * the loss before it. Choosing the earliest loss first is optimal, as in interval scheduling.
   */
  private List<EngineLoss> inSequence(List<EngineLoss> all) {
    List<EngineLoss> ordered =
        all.stream()
            .filter(loss -> loss.lostAtMs() > answeredAtMs)
            .sorted(Comparator.comparingLong(EngineLoss::lostAtMs).thenComparing(EngineLoss::id))
            .toList();
    List<EngineLoss> sequence = new ArrayList<>();
    for (EngineLoss loss : ordered) {
      if (sequence.isEmpty() || loss.isAfter(sequence.get(sequence.size() - 1))) {
        sequence.add(loss);
      }
    }
    return sequence.subList(Math.max(0, sequence.size() - MAX_KEPT_LOSSES), sequence.size());
  }

  private static boolean sameAttempts(List<EngineLoss> one, List<EngineLoss> other) {
    return one.stream()
        .map(EngineLoss::id)
        .toList()
        .equals(other.stream().map(EngineLoss::id).toList());
  }

  private long lastLossAtMs() {
    return losses.isEmpty() ? Timed.NEVER_MS : losses.get(losses.size() - 1).lostAtMs();
  }
}
