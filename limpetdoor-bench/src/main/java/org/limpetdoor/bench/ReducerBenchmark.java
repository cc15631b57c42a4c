package org.limpetdoor.bench;

import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.NodeState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the reducer time for the events of one request by number of engines. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgs = "-Xmx1g")
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class ReducerBenchmark {
  private static final int MODELS = 210;

  /** Number of engines in the configuration. */
  @Param({"70", "420", "1800", "7200"})
  public int engines;

  private RequestCycle cycle;

  /** Creates a new state for each iteration. */
  @Setup(Level.Iteration)
  public void setUp() {
    cycle = new RequestCycle(engines, MODELS);
  }

  /** Reduces the arrival, first token, load report and completion of one request. */
  @Benchmark
  public NodeState requestCycle() {
    return cycle.run();
  }

  /** Reduces only the arrival and the completion of one request. */
  @Benchmark
  public NodeState arrivalAndCompletion() {
    cycle.complete(cycle.arrive());
    return cycle.state();
  }
}
