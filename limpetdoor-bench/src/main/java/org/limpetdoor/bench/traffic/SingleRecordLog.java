package org.limpetdoor.bench.traffic;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.runtime.log.LogService;

/** A log with one publication, so that the measurement needs no log service. */
final class SingleRecordLog implements LogService {
  private final RawRecord record;
  private final CountDownLatch recordDelivered = new CountDownLatch(1);

  SingleRecordLog(Configuration configuration) {
    ConfigurationPublished published =
        new ConfigurationPublished(
            AgreedState.NO_VERSION, "bench", ConfigurationPatch.of(configuration));
    Envelope envelope = new Envelope(new AppendId("bench", 1), published);
    record = new RawRecord(0, LogRecordCodec.encode(envelope));
  }

  /** Waits until the record was passed to the control thread, ahead of all later events. */
  void awaitRecordDelivered() throws InterruptedException {
    recordDelivered.await();
  }

  @Override
  public long append(byte[] body) {
    throw new UnsupportedOperationException("the measured entry appends nothing");
  }

  @Override
  public Page read(long from, int max, int waitMs) {
    if (from == 0) {
      return new Page(List.of(record), 1, 0);
    }
    recordDelivered.countDown();
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
