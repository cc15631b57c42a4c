package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.backend.AnsweredPromptParts;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Evidence of contents that crash engines, so that calls with them are refused after a few crashes.
 * A content is a part of a prompt or a whole request. Callers may send it again to any instance, so
 * the evidence is shared with the peers.
 *
 * @param suspicions evidence by content, including that of peers
 * @param answered shared parts of prompts that engines have answered lately
 * @param silentAttempts attempts that are evidence if their engines turn out to have crashed
 * @param reportDueAtMs time of the next report to the peers, in monotonic milliseconds, or {@link
 *     Timed#NEVER_MS} if the next digest is early enough
 */
record CrashRecords(
    PMap<Long, CrashSuspicion> suspicions,
    AnsweredPromptParts answered,
    SilentAttempts silentAttempts,
    long reportDueAtMs) {
  static final CrashRecords EMPTY =
      new CrashRecords(
          HashTreePMap.empty(), AnsweredPromptParts.NONE, SilentAttempts.NONE, Timed.NEVER_MS);

  /** Bounds the memory; each call in flight on a lost engine adds one or two contents. */
  private static final int MAX_SUSPICIONS = 2_000;

  /** Bounds the size of a digest. */
  private static final int MAX_REPORTS = 200;

  private static final Comparator<Map.Entry<Long, CrashSuspicion>> MOST_LOSSES_FIRST =
      Comparator.<Map.Entry<Long, CrashSuspicion>>comparingInt(
              entry -> -entry.getValue().losses().size())
          .thenComparingLong(entry -> -entry.getValue().changedAtMs())
          .thenComparingLong(Map.Entry::getKey);

  /** Returns a banned content of the call, if it has one. */
  Optional<Long> bannedContent(CallSpec spec, long nowMs) {
    return suspicions.isEmpty()
        ? Optional.empty()
        : CallContents.all(spec).stream().filter(content -> isBanned(content, nowMs)).findFirst();
  }

  boolean isBanned(long content, long nowMs) {
    CrashSuspicion suspicion = suspicions.get(content);
    return suspicion != null && suspicion.isBanned(nowMs);
  }

  /**
   * Records that the connection to an engine was lost while it ran a call with some contents.
   *
   * @param doubtful whether the engine may not have read them
   */
  CrashRecords withLoss(Collection<Long> contents, EngineLoss loss, boolean doubtful, long nowMs) {
    PMap<Long, CrashSuspicion> next = suspicions;
    for (long content : contents) {
      CrashSuspicion known = next.getOrDefault(content, CrashSuspicion.NONE).withLoss(loss, nowMs);
      CrashSuspicion judged = doubtful ? known.withDoubt(nowMs) : known;
      next = next.plus(content, withOwnAnswers(content, judged, nowMs));
    }
    return withSuspicions(next).bounded();
  }

  /** Records that an engine has answered a prompt with some parts without a crash. */
  CrashRecords withAnswer(Collection<Long> promptParts, long nowMs) {
    AnsweredPromptParts next = answered;
    for (long part : promptParts) {
      next = next.with(part, nowMs);
    }
    CrashRecords recorded =
        next == answered ? this : new CrashRecords(suspicions, next, silentAttempts, reportDueAtMs);
    return recorded.withLossesCancelled(promptParts, nowMs);
  }

  /** Records that an engine has answered a whole request. */
  CrashRecords withCompletion(long request, long nowMs) {
    return withLossesCancelled(List.of(request), nowMs);
  }

  private CrashRecords withLossesCancelled(Collection<Long> contents, long nowMs) {
    PMap<Long, CrashSuspicion> next = suspicions;
    for (long content : contents) {
      CrashSuspicion known = next.get(content);
      CrashSuspicion cleared = known == null ? null : known.withAnswer(nowMs, nowMs);
      next = cleared == known ? next : next.plus(content, cleared);
    }
    return withSuspicions(next);
  }

  /** Returns the records together with what a peer has reported. */
  CrashRecords withReports(List<CrashReport> reports, long nowMs) {
    PMap<Long, CrashSuspicion> next = suspicions;
    for (CrashReport report : reports) {
      CrashSuspicion known = next.getOrDefault(report.content(), CrashSuspicion.NONE);
      CrashSuspicion merged =
          withOwnAnswers(report.content(), known.withReport(report, nowMs), nowMs);
      next = merged == known ? next : next.plus(report.content(), merged);
    }
    return withSuspicions(next).bounded();
  }

  private CrashSuspicion withOwnAnswers(long content, CrashSuspicion suspicion, long nowMs) {
    boolean answeredHere = !suspicion.losses().isEmpty() && answered.contains(content);
    return answeredHere ? suspicion.withDoubt(nowMs) : suspicion;
  }

  /** Returns whether this instance doubts the evidence against a content that a peer reported. */
  boolean contradicts(CrashReport report) {
    CrashSuspicion known = suspicions.get(report.content());
    return known != null && known.doubtful() && !report.doubtful();
  }

  /** Returns the evidence that has changed since a time, for a peer, the worst first. */
  List<CrashReport> reportsSince(long sinceMs, long nowMs) {
    return suspicions.entrySet().stream()
        .filter(entry -> entry.getValue().changedAtMs() >= sinceMs)
        .sorted(MOST_LOSSES_FIRST)
        .limit(MAX_REPORTS)
        .map(entry -> entry.getValue().toReport(entry.getKey(), nowMs))
        .toList();
  }

  CrashRecords withoutExpired(long nowMs) {
    PMap<Long, CrashSuspicion> remaining = suspicions;
    for (Map.Entry<Long, CrashSuspicion> entry : suspicions.entrySet()) {
      remaining = entry.getValue().isExpired(nowMs) ? remaining.minus(entry.getKey()) : remaining;
    }
    return withSuspicions(remaining);
  }

  CrashRecords withSilentAttempts(SilentAttempts value) {
    return value == silentAttempts
        ? this
        : new CrashRecords(suspicions, answered, value, reportDueAtMs);
  }

  CrashRecords withReportDueAtMs(long value) {
    return new CrashRecords(suspicions, answered, silentAttempts, value);
  }

  private CrashRecords withSuspicions(PMap<Long, CrashSuspicion> value) {
    return value == suspicions
        ? this
        : new CrashRecords(value, answered, silentAttempts, reportDueAtMs);
  }

  /** Drops all but the worst suspicions. The sort runs only when too many engines are lost. */
  private CrashRecords bounded() {
    if (suspicions.size() <= MAX_SUSPICIONS) {
      return this;
    }
    List<Long> dropped =
        suspicions.entrySet().stream()
            .sorted(MOST_LOSSES_FIRST)
            .skip(MAX_SUSPICIONS / 2)
            .map(Map.Entry::getKey)
            .toList();
    return withSuspicions(suspicions.minusAll(dropped));
  }
}
