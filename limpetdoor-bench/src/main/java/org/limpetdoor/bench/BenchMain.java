package org.limpetdoor.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import org.limpetdoor.bench.experiment.Experiments;
import org.limpetdoor.bench.traffic.TrafficMeasurement;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Runs one measurement: {@code limpetdoor-bench MEASUREMENT}. */
public final class BenchMain {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  private BenchMain() {}

  /** Runs the measurement named by the first argument. */
  public static void main(String[] args) {
    if (args.length >= 1 && args[0].equals("experiments")) {
      runExperiments(args);
      return;
    }
    if (args.length != 1) {
      exitWithUsage();
      return;
    }
    try {
      Measurement.valueOf(args[0].toUpperCase(Locale.ROOT)).run();
    } catch (IllegalArgumentException e) {
      exitWithUsage();
    } catch (RunnerException e) {
      System.err.println("measurement failed: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }

  private static void runExperiments(String[] args) {
    String name = args.length > 1 ? args[1] : "all";
    Path plot = args.length > 2 ? Path.of(args[2]) : null;
    try {
      Experiments.run(name, plot);
    } catch (IllegalArgumentException e) {
      exitWithUsage();
    } catch (IOException e) {
      System.err.println("cannot write the plot: " + e);
      System.exit(EXIT_FAILED);
    }
  }

  private static void exitWithUsage() {
    System.err.println(
        "usage: limpetdoor-bench reducer|configuration|records|heap|traffic|experiments"
            + " [all|attainment|crest|blocking|tail [PLOT.svg]]");
    System.exit(EXIT_USAGE);
  }

  private enum Measurement {
    /** Control-thread time and allocation for the events of a request. */
    REDUCER {
      @Override
      void run() throws RunnerException {
        new Runner(
                new OptionsBuilder()
                    .include(ReducerBenchmark.class.getName())
                    .addProfiler(GCProfiler.class)
                    .build())
            .run();
      }
    },
    /** Size of publications and control-thread time to apply them. */
    CONFIGURATION {
      @Override
      void run() {
        ConfigurationMeasurement.run();
      }
    },
    /** Encoded sizes of log records. */
    RECORDS {
      @Override
      void run() {
        RecordMeasurement.run();
      }
    },
    /** Retained heap of the control state. */
    HEAP {
      @Override
      void run() {
        HeapMeasurement.run();
      }
    },
    /** Processor time and added latency of an entry under streamed traffic. */
    TRAFFIC {
      @Override
      void run() {
        TrafficMeasurement.run();
      }
    };

    abstract void run() throws RunnerException;
  }
}
