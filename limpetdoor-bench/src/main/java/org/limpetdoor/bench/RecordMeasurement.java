package org.limpetdoor.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.ClaimRequested;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.LeaseRenewed;
import org.limpetdoor.core.agreed.LogRecord.LimitEpochStarted;
import org.limpetdoor.core.agreed.LogRecord.PlacementConfirmed;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.LogRecord.SnapshotTaken;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.format.record.LogRecordCodec;

/** Measures the encoded sizes of log records with realistic names and offsets. */
final class RecordMeasurement {
  private static final long OFFSET = 50_000_000L;
  private static final InstanceId INSTANCE = new InstanceId("entry-georgia-a-117");
  private static final long INCARNATION = 1_796_372_347_257L;
  private static final int[] ENGINES = {70, 420, 1_800, 7_200};
  private static final int[] MEMBERS = {3, 9, 420};
  private static final int MODELS = 210;

  private RecordMeasurement() {}

  /** Prints a table of record sizes in bytes. */
  static void run() {
    System.out.println("record bytes");
    records().forEach((name, record) -> System.out.println(name + " " + bytes(record)));
    for (int members : MEMBERS) {
      System.out.println("limit_epoch_of_" + members + " " + bytes(limitEpoch(members)));
    }
    for (int engines : ENGINES) {
      LogRecord snapshot = new SnapshotTaken(new RequestCycle(engines, MODELS).state().agreed());
      System.out.println("snapshot_of_" + engines + "_engines " + bytes(snapshot));
    }
  }

  private static Map<String, LogRecord> records() {
    BackendId engine = new BackendId("engine-georgia-a-1234");
    ModelId model = new ModelId("model-123");
    String intent = INSTANCE + ":" + INCARNATION + ":12345";
    Map<String, LogRecord> records = new LinkedHashMap<>();
    records.put("lease_renewed", new LeaseRenewed(63, OFFSET));
    records.put("lease_claimed", new LeaseClaimed(63, INSTANCE, OFFSET, 15_000));
    records.put(
        "placement_intended",
        new PlacementIntended(intent, 63, OFFSET, engine, model, 80_000, PlacementAction.LOAD));
    records.put("placement_confirmed", new PlacementConfirmed(intent));
    records.put(
        "claim_requested",
        new ClaimRequested(
            new CustomerId("customer-123"),
            "0b54e1f2-7c0e-4c06-9d5f-1f1a5bb0d1a7",
            new RequestId(INSTANCE + "-" + INCARNATION + "-1234567"),
            INSTANCE));
    return records;
  }

  private static LogRecord limitEpoch(int count) {
    List<InstanceId> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new InstanceId("entry-georgia-a-" + i));
    }
    return new LimitEpochStarted(OFFSET, members);
  }

  private static int bytes(LogRecord record) {
    AppendId id = new AppendId(INSTANCE + ":" + INCARNATION, 123_456);
    return LogRecordCodec.encode(new Envelope(id, record)).length;
  }
}
