package org.limpetdoor.format.record;

import java.util.LinkedHashMap;
import java.util.Map;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;

/**
 * Encodes log records as MessagePack maps with the fields {@code kind}, {@code appender}, {@code
 * sequence} and those of the kind.
 */
public final class LogRecordCodec {
  private LogRecordCodec() {}

  /**
   * Returns the bytes of a record.
   *
   * @throws MalformedRecordException for {@link LogRecord.Unknown}, whose fields are not known;
   *     such a record is passed on as the bytes that were read
   */
  public static byte[] encode(Envelope envelope) {
    RecordKind kind = RecordKind.of(envelope.content());
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("kind", kind.wireName());
    fields.put("appender", envelope.id().appender());
    fields.put("sequence", envelope.id().sequence());
    fields.putAll(kind.encode(envelope.content()));
    return MessagePackMaps.encode(fields);
  }

  /**
   * Returns the record that the bytes encode. A kind that this version does not know gives {@link
   * LogRecord.Unknown}.
   *
   * @throws MalformedRecordException if the bytes are not a record
   */
  public static Envelope decode(byte[] bytes) {
    RecordFields fields = new RecordFields(MessagePackMaps.decode(bytes));
    String kind = fields.text("kind");
    AppendId id = new AppendId(fields.text("appender"), fields.number("sequence"));
    LogRecord content =
        RecordKind.named(kind)
            .map(known -> decode(known, fields))
            .orElseGet(() -> new LogRecord.Unknown(kind));
    return new Envelope(id, content);
  }

  private static LogRecord decode(RecordKind kind, RecordFields fields) {
    try {
      return kind.decode(fields);
    } catch (MalformedRecordException e) {
      throw e;
    } catch (LimpetdoorException e) {
      throw new MalformedRecordException(kind.wireName() + ": " + e.getMessage(), e);
    }
  }
}
