package org.limpetdoor.format.configuration;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.format.json.DocumentReader;
import org.limpetdoor.format.json.ObjectReader;
import org.limpetdoor.format.json.ReadResult;
import org.limpetdoor.format.json.ValueType;
import org.limpetdoor.format.json.ValueTypes;

/**
 * Reads configuration patches in JSON with comments. References are not checked, because they may
 * name entries of the base configuration.
 */
public final class PatchReader {
  private static final ValueType<ConfigurationPatch.Removals> REMOVALS =
      ValueTypes.object(PatchReader::readRemovals);

  private PatchReader() {}

  /**
   * Reads a patch and reports all problems of the document in one pass.
   *
   * @param source name of the document, used in error messages
   * @param text text of the document
   */
  public static ReadResult<ConfigurationPatch> read(String source, String text) {
    return DocumentReader.read(source, text, ValueTypes.object(PatchReader::readPatch));
  }

  private static ConfigurationPatch readPatch(ObjectReader in) {
    List<Contract> contracts = readEntries(in, "contracts", EntryTypes.CONTRACT);
    List<Model> models = readEntries(in, "models", EntryTypes.MODEL);
    List<Adapter> adapters = readEntries(in, "adapters", EntryTypes.ADAPTER);
    List<Engine> engines = readEntries(in, "engines", EntryTypes.ENGINE);
    List<PlainService> services = readEntries(in, "services", EntryTypes.SERVICE);
    PlatformLimits limits = in.optional("limits", EntryTypes.LIMITS, null);
    ConfigurationPatch.Removals removals =
        in.optional("removals", REMOVALS, ConfigurationPatch.Removals.NONE);
    return in.build(
        () ->
            new ConfigurationPatch(
                contracts,
                models,
                adapters,
                engines,
                services,
                Optional.ofNullable(limits),
                removals));
  }

  private static ConfigurationPatch.Removals readRemovals(ObjectReader in) {
    List<CustomerId> contracts = readNames(in, "contracts", CustomerId::new);
    List<ModelId> models = readNames(in, "models", ModelId::new);
    List<AdapterId> adapters = readNames(in, "adapters", AdapterId::new);
    List<BackendId> engines = readNames(in, "engines", BackendId::new);
    List<ServiceId> services = readNames(in, "services", ServiceId::new);
    return in.build(
        () -> new ConfigurationPatch.Removals(contracts, models, adapters, engines, services));
  }

  private static <T> List<T> readEntries(ObjectReader in, String name, ValueType<T> type) {
    return in.optional(name, ValueTypes.list(type), List.of());
  }

  private static <T> List<T> readNames(
      ObjectReader in, String name, Function<String, T> constructor) {
    return readEntries(in, name, ValueTypes.name(constructor));
  }
}
