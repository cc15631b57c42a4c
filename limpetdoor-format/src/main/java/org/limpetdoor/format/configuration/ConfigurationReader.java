package org.limpetdoor.format.configuration;

import java.util.List;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.format.json.DocumentReader;
import org.limpetdoor.format.json.JsonValue;
import org.limpetdoor.format.json.Located;
import org.limpetdoor.format.json.ObjectReader;
import org.limpetdoor.format.json.Problems;
import org.limpetdoor.format.json.ReadResult;
import org.limpetdoor.format.json.ValueType;
import org.limpetdoor.format.json.ValueTypes;

/** Reads configuration documents in JSON with comments. */
public final class ConfigurationReader {
  private ConfigurationReader() {}

  /**
   * Reads a configuration and reports all problems of the document in one pass.
   *
   * @param source name of the document, used in error messages
   * @param text text of the document
   */
  public static ReadResult<Configuration> read(String source, String text) {
    return DocumentReader.read(source, text, ConfigurationReader::readAndCheck);
  }

  private static Configuration readAndCheck(JsonValue root, Problems problems) {
    ValueType<Entries> type = ValueTypes.object(in -> readEntries(in, root));
    // Valid entries are kept when others have problems, so that references and sums are also
    // checked.
    Entries entries = type.read(root, "", problems);
    if (entries == null) {
      return null;
    }
    ReferenceChecks.check(entries, problems);
    SumChecks.check(entries, problems);
    return entries.toConfiguration();
  }

  private static Entries readEntries(ObjectReader in, JsonValue root) {
    Entries entries =
        new Entries(
            root,
            readSection(in, "contracts", EntryTypes.CONTRACT),
            readSection(in, "models", EntryTypes.MODEL),
            readSection(in, "adapters", EntryTypes.ADAPTER),
            readSection(in, "engines", EntryTypes.ENGINE),
            readSection(in, "services", EntryTypes.SERVICE),
            in.optional("limits", EntryTypes.LIMITS, PlatformLimits.DEFAULT));
    in.build(() -> entries);
    return entries;
  }

  private static <T> List<Located<T>> readSection(ObjectReader in, String name, ValueType<T> type) {
    ValueType<List<Located<T>>> list = ValueTypes.list(ValueTypes.located(type));
    List<Located<T>> entries = in.optional(name, list, List.of());
    return entries == null ? List.of() : entries;
  }
}
