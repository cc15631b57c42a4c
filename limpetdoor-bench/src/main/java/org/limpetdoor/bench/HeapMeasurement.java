package org.limpetdoor.bench;

import java.util.ArrayList;
import java.util.List;

/** Measures the retained heap of the control state by number of engines. */
final class HeapMeasurement {
  private static final int COPIES = 8;
  private static final int GC_ROUNDS = 4;
  private static final int[] ENGINES = {70, 420, 1_800, 7_200};
  private static final int MODELS = 210;

  private HeapMeasurement() {}

  /** Prints a table of the retained bytes of one control state. */
  static void run() {
    System.out.println("engines models retained_bytes");
    for (int engines : ENGINES) {
      System.out.println(engines + " " + MODELS + " " + retainedBytes(engines));
    }
  }

  private static long retainedBytes(int engines) {
    long beforeBytes = usedBytes();
    List<RequestCycle> cycles = new ArrayList<>();
    for (int i = 0; i < COPIES; i++) {
      cycles.add(new RequestCycle(engines, MODELS));
    }
    long retained = (usedBytes() - beforeBytes) / COPIES;
    java.lang.ref.Reference.reachabilityFence(cycles);
    return retained;
  }

  private static long usedBytes() {
    for (int i = 0; i < GC_ROUNDS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
