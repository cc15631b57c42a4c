package org.limpetdoor.core.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.Outbox;
import org.limpetdoor.core.agreed.StoredRecord;

/** The log, with the state that every instance must fold after each record. */
final class FakeLog {
  private final List<StoredRecord> records = new ArrayList<>();
  private final List<AgreedState> folds = new ArrayList<>(List.of(AgreedState.INITIAL));
  private final Map<String, Long> epochsByIntent = new HashMap<>();
  private long winningVersion = AgreedState.NO_VERSION;
  long downUntilMs;
  long epochs;

  long append(Envelope envelope) {
    StoredRecord stored = new StoredRecord(records.size(), envelope);
    records.add(stored);
    long epochBefore = head().limitEpoch().epoch();
    folds.add(head().fold(stored).state());
    epochs += head().limitEpoch().epoch() == epochBefore ? 0 : 1;
    for (LogRecord content : Outbox.records(envelope.content())) {
      if (content instanceof PlacementIntended intended) {
        epochsByIntent.put(intended.intentId(), intended.epoch());
      } else if (content instanceof ConfigurationPublished published
          && published.baseVersion() == winningVersion) {
        winningVersion = stored.offset();
      }
    }
    return stored.offset();
  }

  List<StoredRecord> read(long from, int max) {
    int start = (int) Math.min(from, records.size());
    return records.subList(start, Math.min(records.size(), start + max));
  }

  AgreedState foldAt(long nextOffset) {
    return folds.get((int) nextOffset);
  }

  AgreedState head() {
    return folds.get(folds.size() - 1);
  }

  long epochOf(String intentId) {
    Long epoch = epochsByIntent.get(intentId);
    if (epoch == null) {
      throw new AssertionError("order " + intentId + " arrived before its intent was in the log");
    }
    return epoch;
  }

  /**
   * Returns the version in force, computed independently of the fold: the first publication for
   * each base version wins.
   */
  long winningVersion() {
    return winningVersion;
  }
}
