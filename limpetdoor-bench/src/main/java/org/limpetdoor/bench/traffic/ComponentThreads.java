package org.limpetdoor.bench.traffic;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The threads of one component of the process. A thread inherits the group of the thread that
 * starts it, so all threads that a component starts are in its group, whatever their names.
 */
final class ComponentThreads {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int SPARE_CAPACITY = 64;

  private final ThreadGroup group;

  ComponentThreads(String name) {
    group = new ThreadGroup(name);
  }

  /** Runs a task on a thread of this component and returns its result. */
  <T> T call(Callable<T> task) throws InterruptedException {
    FutureTask<T> result = new FutureTask<>(task);
    new Thread(group, result, group.getName()).start();
    try {
      return result.get();
    } catch (ExecutionException e) {
      throw new TrafficFailedException(group.getName() + " failed: " + e.getCause(), e.getCause());
    }
  }

  /** Returns a new thread of this component. */
  Thread newThread(Runnable task) {
    Thread thread = new Thread(group, task, group.getName());
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the names of the live threads, in alphabetical order. */
  String names() {
    return liveThreads().map(Thread::getName).sorted().collect(Collectors.joining(", "));
  }

  /** Returns the processor time of each live thread, in nanoseconds, by thread identifier. */
  Map<Long, Long> cpuNs() {
    return liveThreads()
        .collect(
            Collectors.toMap(Thread::getId, thread -> THREADS.getThreadCpuTime(thread.getId())));
  }

  /**
   * Returns the processor time used since an earlier reading, in nanoseconds.
   *
   * @throws TrafficFailedException if a thread has ended since, because its time is unknown
   */
  long cpuNsSince(Map<Long, Long> before) {
    Map<Long, Long> now = cpuNs();
    if (!now.keySet().containsAll(before.keySet()) || now.containsValue(-1L)) {
      throw new TrafficFailedException("a thread of " + group.getName() + " ended", null);
    }
    return now.entrySet().stream()
        .mapToLong(entry -> entry.getValue() - before.getOrDefault(entry.getKey(), 0L))
        .sum();
  }

  private Stream<Thread> liveThreads() {
    Thread[] live = new Thread[group.activeCount() + SPARE_CAPACITY];
    int count = group.enumerate(live, true);
    return Arrays.stream(live, 0, count);
  }
}
