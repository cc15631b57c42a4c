package org.limpetdoor.core.backend;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Contents that were in flight on engines when the engines crashed: whole requests, by fingerprint,
 * and parts of prompts that the engines had not answered for long.
 *
 * @param entries suspects by content
 * @param answered shared parts of prompts that engines have answered lately
 */
public record CrashSuspects(PMap<Long, CrashSuspect> entries, AnsweredPromptParts answered) {
  /** No suspects. */
  public static final CrashSuspects NONE =
      new CrashSuspects(HashTreePMap.empty(), AnsweredPromptParts.NONE);

  /**
   * Number of crashes without an answer in between from which a part is banned if a request with it
   * crashes an engine in isolation. The request may have other parts that are sound.
   */
  private static final int MIN_CRASHES_OF_BANNED_PART = 3;

  /** Bounds the memory; an engine has tens of requests in flight when it crashes. */
  private static final int MAX_ENTRIES = 1_000;

  /** Bounds the size of a message between peers. */
  private static final int MAX_SHARED = 100;

  /**
   * A suspect as sent to a peer. Times are relative, because the clocks of instances are not
   * synchronized.
   *
   * @param fingerprint fingerprint of the request
   * @param score score at the time of the message
   * @param crashes number of crashes of engines on which such a request was in flight
   * @param bannedForMs remaining time of the ban, in milliseconds, or 0
   */
  public record Shared(long fingerprint, double score, int crashes, long bannedForMs) {}

  /** Returns whether requests with this content must run in isolation. */
  public boolean isSuspect(long content, long nowMs) {
    CrashSuspect entry = entries.get(content);
    return entry != null && entry.isSuspectAt(nowMs);
  }

  /** Returns whether requests with this content are refused. */
  public boolean isBanned(long content, long nowMs) {
    CrashSuspect entry = entries.get(content);
    return entry != null && entry.isBannedAt(nowMs);
  }

  /** Returns a copy that attributes one crash in equal fractions to the requests in flight. */
  public CrashSuspects withCrash(Collection<Long> fingerprints, long nowMs) {
    double fraction = 1.0 / Math.max(1, fingerprints.size());
    PMap<Long, CrashSuspect> next = entries;
    for (long fingerprint : fingerprints) {
      CrashSuspect current = next.getOrDefault(fingerprint, CrashSuspect.NONE);
      next = next.plus(fingerprint, current.withCrash(fraction, nowMs));
    }
    return with(next).bounded(nowMs);
  }

  /**
   * Returns a copy that attributes a fraction of a crash to the parts of a prompt that an engine
   * was about to answer or had begun to answer.
   *
   * @param promptParts shared parts of the prompt
   * @param fraction fraction of the crash that is attributed to the request, from 0 to 1
   * @param isolated whether the engine ran this request only
   */
  public CrashSuspects withUnansweredPrompt(
      List<Long> promptParts, double fraction, boolean isolated, long nowMs) {
    PMap<Long, CrashSuspect> next = entries;
    for (long part : answered.suspectedOf(promptParts)) {
      CrashSuspect charged = next.getOrDefault(part, CrashSuspect.NONE).withCrash(fraction, nowMs);
      boolean banned = isolated && charged.crashes() >= MIN_CRASHES_OF_BANNED_PART;
      next = next.plus(part, banned ? charged.withBan(nowMs) : charged);
    }
    return with(next).bounded(nowMs);
  }

  /**
   * Returns a copy that bans a fingerprint, because an engine crashed while it ran this request
   * only.
   */
  public CrashSuspects withIsolatedCrash(long fingerprint, long nowMs) {
    CrashSuspect current = entries.getOrDefault(fingerprint, CrashSuspect.NONE);
    CrashSuspect next = current.withCrash(1, nowMs).withBan(nowMs);
    return with(entries.plus(fingerprint, next)).bounded(nowMs);
  }

  /** Returns a copy without the suspicion of parts that an engine has answered. */
  public CrashSuspects withAnsweredPrompt(List<Long> promptParts, long nowMs) {
    AnsweredPromptParts nextAnswered = answered;
    PMap<Long, CrashSuspect> next = entries;
    for (long part : promptParts) {
      nextAnswered = nextAnswered.with(part, nowMs);
      next = isBanned(part, nowMs) ? next : next.minus(part);
    }
    return next == entries && nextAnswered == answered
        ? this
        : new CrashSuspects(next, nextAnswered);
  }

  /**
   * Returns a copy without the suspicion of a fingerprint, because such a request ran to its end. A
   * ban stays in force.
   */
  public CrashSuspects withCompleted(long fingerprint, long nowMs) {
    return !entries.containsKey(fingerprint) || isBanned(fingerprint, nowMs)
        ? this
        : with(entries.minus(fingerprint));
  }

  private CrashSuspects with(PMap<Long, CrashSuspect> value) {
    return new CrashSuspects(value, answered);
  }

  /** Returns the suspects to send to peers, worst first and limited in number. */
  public List<Shared> forPeers(long nowMs) {
    return entries.entrySet().stream()
        .filter(entry -> entry.getValue().isSuspectAt(nowMs) || entry.getValue().isBannedAt(nowMs))
        .sorted(worstFirst(nowMs))
        .limit(MAX_SHARED)
        .map(entry -> entry.getValue().toShared(entry.getKey(), nowMs))
        .toList();
  }

  /**
   * Returns a copy merged with the suspects of a peer; the more severe values of each suspect
   * apply.
   */
  public CrashSuspects withShared(List<Shared> peerSuspects, long nowMs) {
    PMap<Long, CrashSuspect> next = entries;
    for (Shared peerSuspect : peerSuspects) {
      CrashSuspect current = next.getOrDefault(peerSuspect.fingerprint(), CrashSuspect.NONE);
      next = next.plus(peerSuspect.fingerprint(), current.withShared(peerSuspect, nowMs));
    }
    return with(next).bounded(nowMs);
  }

  /** Drops all but the worst suspects. The sort runs only at crashes and on messages of peers. */
  private CrashSuspects bounded(long nowMs) {
    if (entries.size() <= MAX_ENTRIES) {
      return this;
    }
    List<Long> dropped =
        entries.entrySet().stream()
            .sorted(worstFirst(nowMs))
            .skip(MAX_ENTRIES)
            .map(Map.Entry::getKey)
            .toList();
    return with(entries.minusAll(dropped));
  }

  private static Comparator<Map.Entry<Long, CrashSuspect>> worstFirst(long nowMs) {
    return Comparator.<Map.Entry<Long, CrashSuspect>>comparingLong(
            entry -> -entry.getValue().bannedUntilMs())
        .thenComparingDouble(entry -> -entry.getValue().scoreAt(nowMs))
        .thenComparingLong(Map.Entry::getKey);
  }
}
