package org.limpetdoor.runtime.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.format.record.MalformedRecordException;

/** Turns records as the log keeps them into records for the fold. */
public final class LogRecords {
  /** Kind given to records that cannot be decoded. */
  public static final String MALFORMED_KIND = "malformed";

  private static final Logger LOG = System.getLogger(LogRecords.class.getName());
  // Sequence numbers start at 1, so the fold treats 0 as repeated and the record changes nothing.
  private static final AppendId NO_ID = new AppendId("", 0);

  private LogRecords() {}

  /**
   * Decodes a record. One that cannot be decoded becomes {@link LogRecord.Unknown}, because a
   * foreign append must not stop the fold.
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
