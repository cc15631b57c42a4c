package org.limpetdoor.format.record;

import java.util.LinkedHashMap;
import java.util.Map;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.LaterReaderNeeded;

/**
 * Encodes log records as MessagePack maps with the fields {@code kind}, {@code minReaderVersion},
 * {@code appender}, {@code sequence} and those of the kind.
 */
public final class LogRecordCodec {
  /**
   * Version of this reader. It rises with each change after which an older reader would fold a
   * record differently: a new kind that changes agreed state, a new field of the configuration, or
   * a different range.
   */
  public static final long READER_VERSION = 1;

  private static final String MIN_READER_VERSION = "minReaderVersion";
  private static final AppendId NO_ID = new AppendId("", 0);

  private LogRecordCodec() {}

  /**
   * Returns the bytes of a record.
   *
   * @throws MalformedRecordException for {@link LogRecord.Unknown}, whose fields are not known;
   *     such a record is passed on as the bytes that were read
   */
  public static byte[] encode(Envelope envelope) {
    Map<String, Object> fields = new LinkedHashMap<>(RecordKind.encodeContent(envelope.content()));
    fields.put(MIN_READER_VERSION, RecordKind.of(envelope.content()).minReaderVersion());
    fields.put("appender", envelope.id().appender());
    fields.put("sequence", envelope.id().sequence());
    return MessagePackMaps.encode(fields);
  }

  /**
   * Returns the record that the bytes encode. A kind that this version does not know gives {@link
   * LogRecord.Unknown}, and one that needs a later reader gives {@link LaterReaderNeeded}.
   *
   * @throws MalformedRecordException if the bytes are not a record
   */
  public static Envelope decode(byte[] bytes) {
    RecordFields fields = new RecordFields(MessagePackMaps.decode(bytes));
    long minReaderVersion = fields.number(MIN_READER_VERSION, 1);
    if (minReaderVersion > READER_VERSION) {
      // The other fields may have another form, so nothing more of the record is read.
      return new Envelope(NO_ID, new LaterReaderNeeded(minReaderVersion, READER_VERSION));
    }
    AppendId id = new AppendId(fields.text("appender"), fields.number("sequence"));
    return new Envelope(id, content(fields));
  }

  private static LogRecord content(RecordFields fields) {
    try {
      return RecordKind.decodeContent(fields);
    } catch (MalformedRecordException e) {
      throw e;
    } catch (LimpetdoorException e) {
      throw new MalformedRecordException(fields.text("kind") + ": " + e.getMessage(), e);
    }
  }
}
