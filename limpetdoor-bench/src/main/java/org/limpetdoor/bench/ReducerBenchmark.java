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

/** Control time of the four events of one request against the number of engines. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgs = "-Xmx1g")
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class ReducerBenchmark {
  private static final int MODELS = 210;

  /** Engines in the configuration. */
  @Param({"70", "420", "1800", "7200"})
  public int engines;

  private RequestCycle cycle;

  /** Builds the state anew for each iteration. */
  @Setup(Level.Iteration)
  public void setUp() {
    cycle = new RequestCycle(engines, MODELS);
  }

  /** Arrival, first token, load report and completion of one request. */
  @Benchmark
  public NodeState requestCycle() {
    return cycle.run();
  }

  /** Arrival, routing and completion only. */
  @Benchmark
  public NodeState arrivalAndCompletion() {
    cycle.complete(cycle.arrive());
    return cycle.state();
  }
}
