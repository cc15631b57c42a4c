package org.limpetdoor.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.runtime.log.LogFailure;
import org.limpetdoor.runtime.log.LogService;
import org.limpetdoor.runtime.log.LogServiceException;

/** A log with a fixed configuration. The first read fails, as in an outage during the start. */
final class FixedLog implements LogService {
  private final List<RawRecord> records = new ArrayList<>();
  private final CountDownLatch submitted = new CountDownLatch(1);
  private boolean failed;

  FixedLog(Configuration configuration, byte[]... laterRecords) {
    ConfigurationPublished published =
        new ConfigurationPublished(
            AgreedState.NO_VERSION, "test", ConfigurationPatch.of(configuration));
    Envelope envelope = new Envelope(new AppendId("test", 1), published);
    records.add(new RawRecord(0, LogRecordCodec.encode(envelope)));
    for (byte[] body : laterRecords) {
      records.add(new RawRecord(records.size(), body));
    }
  }

  /** Waits until the records were submitted to the control thread, ahead of all later events. */
  void awaitSubmitted() throws InterruptedException {
    submitted.await();
  }

  @Override
  public long append(byte[] body) {
    throw new LogServiceException(LogFailure.UNREACHABLE, "test", "no connection", null);
  }

  @Override
  public Page read(long from, int max, int waitMs) {
    if (!failed) {
      failed = true;
      throw new LogServiceException(LogFailure.UNREACHABLE, "test", "no connection", null);
    }
    if (from == 0) {
      return new Page(records, records.size(), 0);
    }
    submitted.countDown();
    return waitUntilClosed(from);
  }

  private static Page waitUntilClosed(long from) {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return new Page(List.of(), from, 0);
  }
}
