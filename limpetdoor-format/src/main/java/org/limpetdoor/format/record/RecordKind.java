package org.limpetdoor.format.record;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.format.configuration.ConfigurationWriter;
import org.limpetdoor.format.configuration.PatchReader;

/** Kinds of log records. Each kind encodes and decodes its own fields. */
enum RecordKind {
  /** A publication of the configuration; the patch is carried as JSON text. */
  CONFIGURATION_PUBLISHED("configuration-published", ConfigurationPublished.class) {
    @Override
    Map<String, Object> encode(LogRecord content) {
      ConfigurationPublished published = (ConfigurationPublished) content;
      return Map.of(
          "baseVersion", published.baseVersion(),
          "publisher", published.publisher(),
          "patch", ConfigurationWriter.write(published.patch()));
    }

    @Override
    LogRecord decode(RecordFields fields) {
      return new ConfigurationPublished(
          fields.number("baseVersion"),
          fields.text("publisher"),
          PatchReader.read("patch", fields.text("patch")).orThrow());
    }
  };

  private final String wireName;
  private final Class<? extends LogRecord> type;

  RecordKind(String wireName, Class<? extends LogRecord> type) {
    this.wireName = wireName;
    this.type = type;
  }

  /** Returns the fields of a record of this kind. */
  abstract Map<String, Object> encode(LogRecord content);

  /** Returns the record of this kind with the given fields. */
  abstract LogRecord decode(RecordFields fields);

  /** Returns the name of the kind in encoded records. */
  String wireName() {
    return wireName;
  }

  static Optional<RecordKind> named(String wireName) {
    return Arrays.stream(values()).filter(kind -> kind.wireName.equals(wireName)).findFirst();
  }

  static RecordKind of(LogRecord content) {
    return Arrays.stream(values())
        .filter(kind -> kind.type.isInstance(content))
        .findFirst()
        .orElseThrow(() -> new MalformedRecordException("cannot encode " + content, null));
  }
}
