package org.limpetdoor.scenario;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time with an ordered schedule. Actions at the same time run in scheduling order. */
public final class VirtualTime {
  private static final Comparator<Scheduled> ORDER =
      Comparator.comparingLong(Scheduled::atMs).thenComparingLong(Scheduled::sequence);

  private final PriorityQueue<Scheduled> schedule = new PriorityQueue<>(ORDER);
  private long nowMs;
  private long nextSequence;

  private record Scheduled(long atMs, long sequence, Runnable action) {}

  /** Returns the current time, in milliseconds from 0. */
  public long nowMs() {
    return nowMs;
  }

  /** Schedules an action; a time in the past is replaced by the current time. */
  public void at(long atMs, Runnable action) {
    schedule.add(new Scheduled(Math.max(nowMs, atMs), nextSequence++, action));
  }

  /** Schedules an action after a delay. */
  public void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  /** Runs all actions up to and including the given time, and sets the time to it. */
  public void runUntil(long endMs) {
    while (!schedule.isEmpty() && schedule.peek().atMs() <= endMs) {
      Scheduled next = schedule.poll();
      nowMs = next.atMs();
      next.action().run();
    }
    nowMs = Math.max(nowMs, endMs);
  }
}
