package org.limpetdoor.bench;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.format.record.LogRecordCodec;

/** Measures the size of a publication and the time to apply it, by number of engines. */
final class ConfigurationMeasurement {
  private static final int[] ENGINES = {70, 420, 1_800, 7_200};
  private static final int MODELS = 210;
  private static final int WARM_UP_CHANGES = 300;
  private static final int MEASURED_CHANGES = 300;

  private ConfigurationMeasurement() {}

  /** Prints a table of sizes and times for publications that change one entry. */
  static void run() {
    System.out.println("change engines record_bytes median_us p99_us");
    for (int engines : ENGINES) {
      for (Change change : Change.values()) {
        System.out.println(
            change.name().toLowerCase(java.util.Locale.ROOT) + " " + row(change, engines));
      }
    }
  }

  private static String row(Change change, int engines) {
    Configuration base = FleetConfiguration.of(engines, MODELS);
    NodeReducer reducer = new NodeReducer();
    NodeState state = new RequestCycle(engines, MODELS).state();
    long[] timesNs = new long[MEASURED_CHANGES];
    int recordBytes = 0;
    for (int i = -WARM_UP_CHANGES; i < MEASURED_CHANGES; i++) {
      Envelope envelope = publication(state, change.patch(base, i + WARM_UP_CHANGES));
      recordBytes = LogRecordCodec.encode(envelope).length;
      StoredRecord stored = new StoredRecord(state.agreed().nextOffset(), envelope);
      RecordsRead read = new RecordsRead(state.nowMs(), List.of(stored));
      long startNs = System.nanoTime();
      state = reducer.reduce(state, read).state();
      if (i >= 0) {
        timesNs[i] = System.nanoTime() - startNs;
      }
    }
    Arrays.sort(timesNs);
    return engines
        + " "
        + recordBytes
        + " "
        + TimeUnit.NANOSECONDS.toMicros(timesNs[MEASURED_CHANGES / 2])
        + " "
        + TimeUnit.NANOSECONDS.toMicros(timesNs[MEASURED_CHANGES * 99 / 100]);
  }

  private static Envelope publication(NodeState state, ConfigurationPatch patch) {
    return new Envelope(
        new AppendId("cli:" + state.agreed().nextOffset(), 1),
        new ConfigurationPublished(state.agreed().configurationVersion(), "operator", patch));
  }

  /** Publications that change one entry. */
  private enum Change {
    /** Changes the weight of one contract. */
    CONTRACT {
      @Override
      ConfigurationPatch patch(Configuration base, int number) {
        return ConfigurationPatch.between(
            base, FleetConfiguration.withContractWeight(base, 2 + number));
      }
    },
    /** Changes the number of slots of one engine. */
    ENGINE {
      @Override
      ConfigurationPatch patch(Configuration base, int number) {
        return ConfigurationPatch.between(
            base, FleetConfiguration.withEngineSlots(base, 2 + number % 30));
      }
    };

    abstract ConfigurationPatch patch(Configuration base, int number);
  }
}
