package org.limpetdoor.bench.traffic;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures the processor time of an entry for each request and each streamed token, and the latency
 * that it adds to the first token. Two answer lengths separate the cost of a request from that of a
 * token. Garbage collection and compilation run on threads of the virtual machine and are not
 * included.
 */
public final class TrafficMeasurement {
  private static final Workload SHORT = new Workload(4, 3_000, 6_000);
  private static final Workload LONG = new Workload(260, 150, 400);
  private static final int CALLERS = 32;

  /** Few callers, so that the latency does not include queueing in the load or the stand-in. */
  private static final int LATENCY_CALLERS = 2;

  private static final int LATENCY_REQUESTS = 3_000;
  private static final double NS_PER_US = 1e3;
  private static final double NS_PER_S = 1e9;
  private static final double US_PER_S = 1e6;

  private final Testbed testbed;
  private final LoadGenerator loadGenerator;

  private TrafficMeasurement(Testbed testbed, LoadGenerator loadGenerator) {
    this.testbed = testbed;
    this.loadGenerator = loadGenerator;
  }

  /**
   * Measures and prints a table.
   *
   * @throws TrafficFailedException if an answer is incomplete
   */
  public static void run() {
    try (Testbed testbed = Testbed.start()) {
      new TrafficMeasurement(testbed, new LoadGenerator()).measure();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void measure() throws InterruptedException {
    printMachineLoad("start");
    warmUp(SHORT);
    warmUp(LONG);
    Sample shortAnswers = sample(SHORT);
    Sample longAnswers = sample(LONG);
    LoadGenerator.Result latency =
        loadGenerator.run(
            List.of(testbed.engineAddress(), testbed.entryAddress()),
            LATENCY_REQUESTS,
            LATENCY_CALLERS,
            SHORT.tokens());
    printCost(shortAnswers, longAnswers);
    print("threads of the entry: %s", testbed.entryThreads().names());
    printLatency(latency.firstTokenUs().get(0), latency.firstTokenUs().get(1));
    printMachineLoad("end");
  }

  private void warmUp(Workload workload) throws InterruptedException {
    loadGenerator.run(
        List.of(testbed.entryAddress()), workload.warmUpRequests(), CALLERS, workload.tokens());
  }

  private Sample sample(Workload workload) throws InterruptedException {
    long processBeforeNs = processCpuNs();
    Map<Long, Long> engineBefore = testbed.engineThreads().cpuNs();
    Map<Long, Long> before = testbed.entryThreads().cpuNs();
    LoadGenerator.Result result =
        loadGenerator.run(
            List.of(testbed.entryAddress()), workload.requests(), CALLERS, workload.tokens());
    long cpuNs = testbed.entryThreads().cpuNsSince(before);
    long engineNs = testbed.engineThreads().cpuNsSince(engineBefore);
    double perRequest = NS_PER_US * result.requests();
    return new Sample(
        workload.tokens(),
        result,
        cpuNs / perRequest,
        engineNs / perRequest,
        (processCpuNs() - processBeforeNs) / perRequest);
  }

  private static long processCpuNs() {
    return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
  }

  private static void printMachineLoad(String when) {
    double loadAverage = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    print("%s: processors %d, load average of one minute %.1f", when, processors(), loadAverage);
  }

  private static int processors() {
    return Runtime.getRuntime().availableProcessors();
  }

  private static void printCost(Sample shortAnswers, Sample longAnswers) {
    print(
        "%6s %8s %10s %14s %15s %13s %13s %14s",
        "tokens",
        "requests",
        "requests/s",
        "cpu_us/request",
        "requests/s/core",
        "tokens/s/core",
        "engine_cpu_us",
        "process_cpu_us");
    for (Sample sample : List.of(shortAnswers, longAnswers)) {
      print(
          "%6d %8d %10.1f %14.1f %15.1f %13.1f %13.1f %14.1f",
          sample.tokens(),
          sample.result().requests(),
          sample.requestsPerSecond(),
          sample.cpuUs(),
          US_PER_S / sample.cpuUs(),
          US_PER_S / sample.cpuUs() * sample.tokens(),
          sample.engineCpuUs(),
          sample.processCpuUs());
    }
    double tokenUs =
        (longAnswers.cpuUs() - shortAnswers.cpuUs())
            / (longAnswers.tokens() - shortAnswers.tokens());
    print(
        "solved: cpu_us/request %.1f fixed, cpu_us/token %.2f",
        shortAnswers.cpuUs() - tokenUs * shortAnswers.tokens(), tokenUs);
  }

  private static void printLatency(Histogram directUs, Histogram entryUs) {
    print("%14s %10s %10s %10s", "first_token_us", "requests", "p50", "p99");
    printPercentiles("direct", directUs);
    printPercentiles("entry", entryUs);
    print(
        "%14s %10s %10d %10d",
        "added", "", difference(entryUs, directUs, 50), difference(entryUs, directUs, 99));
  }

  private static void printPercentiles(String name, Histogram us) {
    print(
        "%14s %10d %10d %10d",
        name, us.getTotalCount(), us.getValueAtPercentile(50), us.getValueAtPercentile(99));
  }

  private static long difference(Histogram larger, Histogram smaller, double percentile) {
    return larger.getValueAtPercentile(percentile) - smaller.getValueAtPercentile(percentile);
  }

  private static void print(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  private record Workload(int tokens, int warmUpRequests, int requests) {}

  /**
   * The figures of a workload.
   *
   * @param tokens length of each answer, in tokens
   * @param result result as seen by the callers
   * @param cpuUs processor time of the entry for each request, in microseconds
   * @param engineCpuUs processor time of the stand-in for each request, in microseconds
   * @param processCpuUs processor time of the whole process, including the load generator and the
   *     virtual machine, for each request, in microseconds
   */
  private record Sample(
      int tokens,
      LoadGenerator.Result result,
      double cpuUs,
      double engineCpuUs,
      double processCpuUs) {
    double requestsPerSecond() {
      return result.requests() * NS_PER_S / result.elapsedNs();
    }
  }
}
