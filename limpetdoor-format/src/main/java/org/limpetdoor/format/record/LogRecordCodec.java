package org.limpetdoor.format.record;

import java.util.LinkedHashMap;
import java.util.Map;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.LaterReaderNeeded;

/**
 * Encodes and decodes log records as MessagePack maps with the fields {@code kind}, {@code
 * minReaderVersion}, {@code appender} and {@code sequence}, and the fields of the kind.
 */
public final class LogRecordCodec {
  /**
   * Version of this reader. It must be incremented with each change that makes an older reader fold
   * a record differently: a new kind that changes agreed state, a new field of the configuration,
   * or a different range of values.
   */
  public static final long READER_VERSION = 1;

  private static final String MIN_READER_VERSION = "minReaderVersion";
  private static final AppendId NO_ID = new AppendId("", 0);

  private LogRecordCodec() {}

  /**
   * Encodes a record.
   *
   * @throws MalformedRecordException for {@link LogRecord.Unknown}, because its fields were not
   *     decoded; such a record can only be forwarded as the bytes that were read
   */
  public static byte[] encode(Envelope envelope) {
    Map<String, Object> fields = new LinkedHashMap<>(RecordKind.encodeContent(envelope.content()));
    fields.put(MIN_READER_VERSION, RecordKind.of(envelope.content()).minReaderVersion());
    fields.put("appender", envelope.id().appender());
    fields.put("sequence", envelope.id().sequence());
    return MessagePackMaps.encode(fields);
  }

  /**
   * Decodes a record. A record of an unknown kind becomes {@link LogRecord.Unknown}, and a record
   * that requires a later reader version becomes {@link LaterReaderNeeded}.
   *
   * @throws MalformedRecordException if the bytes are not a log record
   */
  public static Envelope decode(byte[] bytes) {
    RecordFields fields = new RecordFields(MessagePackMaps.decode(bytes));
    long minReaderVersion = fields.number(MIN_READER_VERSION, 1);
    if (minReaderVersion > READER_VERSION) {
      // The other fields may have a different format, so they are not read.
      return new Envelope(NO_ID, new LaterReaderNeeded(minReaderVersion, READER_VERSION));
    }
    AppendId id = new AppendId(fields.text("appender"), fields.number("sequence"));
    return new Envelope(id, decodeContent(fields));
  }

  private static LogRecord decodeContent(RecordFields fields) {
    try {
      return RecordKind.decodeContent(fields);
    } catch (MalformedRecordException e) {
      throw e;
    } catch (LimpetdoorException e) {
      throw new MalformedRecordException(fields.text("kind") + ": " + e.getMessage(), e);
    }
  }
}
