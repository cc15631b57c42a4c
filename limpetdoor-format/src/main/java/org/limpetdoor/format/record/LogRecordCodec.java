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
    Map<String, Object> fields = new LinkedHashMap<>(RecordKind.encodeContent(envelope.content()));
    fields.put("appender", envelope.id().appender());
    fields.put("sequence", envelope.id().sequence());
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
