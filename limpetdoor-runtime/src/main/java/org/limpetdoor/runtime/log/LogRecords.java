package org.limpetdoor.runtime.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.format.record.MalformedRecordException;

/** Decodes stored records for the fold. */
public final class LogRecords {
  /** Kind of the {@link LogRecord.Unknown} that replaces a record that cannot be decoded. */
  public static final String MALFORMED_KIND = "malformed";

  private static final Logger LOG = System.getLogger(LogRecords.class.getName());
  // Sequence numbers start at 1, so the fold ignores a record with number 0 as a duplicate.
  private static final AppendId NO_ID = new AppendId("", 0);

  private LogRecords() {}

  /**
   * Decodes a record. A malformed record becomes {@link LogRecord.Unknown}, because an append by
   * another program must not stop the fold.
   */
  public static StoredRecord decode(LogService.RawRecord raw) {
    try {
      return new StoredRecord(raw.offset(), LogRecordCodec.decode(raw.body()));
    } catch (MalformedRecordException e) {
      LOG.log(
          Level.WARNING,
          "event=record_malformed offset={0} reason=\"{1}\"",
          String.valueOf(raw.offset()),
          e.getMessage());
      LogRecord unknown = new LogRecord.Unknown(MALFORMED_KIND);
      return new StoredRecord(raw.offset(), new Envelope(NO_ID, unknown));
    }
  }
}
