package org.limpetdoor.core.config;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;

/**
 * A change of the configuration: entries to add or replace, and entries to remove. Publications
 * carry patches, because the complete configuration of 7,200 engines for each of 16,000 changes a
 * day would exceed the control traffic limit of an instance.
 *
 * @param contracts contracts to add or replace
 * @param models models to add or replace
 * @param adapters adapters to add or replace
 * @param engines engines to add or replace
 * @param services plain services to add or replace
 * @param limits new limits of the platform, if they change
 * @param removals entries to remove
 */
public record ConfigurationPatch(
    List<Contract> contracts,
    List<Model> models,
    List<Adapter> adapters,
    List<Engine> engines,
    List<PlainService> services,
    Optional<PlatformLimits> limits,
    Removals removals) {
  /** A patch that changes nothing. */
  public static final ConfigurationPatch EMPTY =
      new ConfigurationPatch(
          List.of(), List.of(), List.of(), List.of(), List.of(), Optional.empty(), Removals.NONE);

  /** Copies the lists. */
  public ConfigurationPatch {
    contracts = List.copyOf(contracts);
    models = List.copyOf(models);
    adapters = List.copyOf(adapters);
    engines = List.copyOf(engines);
    services = List.copyOf(services);
  }

  /**
   * Names of entries to remove.
   *
   * @param contracts customers whose contract is removed
   * @param models models to remove
   * @param adapters adapters to remove
   * @param engines engines to remove
   * @param services plain services to remove
   */
  public record Removals(
      List<CustomerId> contracts,
      List<ModelId> models,
      List<AdapterId> adapters,
      List<BackendId> engines,
      List<ServiceId> services) {
    /** Removals without entries. */
    public static final Removals NONE =
        new Removals(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public Removals {
      contracts = List.copyOf(contracts);
      models = List.copyOf(models);
      adapters = List.copyOf(adapters);
      engines = List.copyOf(engines);
      services = List.copyOf(services);
    }
  }

  /** Returns a patch that turns the empty configuration into the given one. */
  public static ConfigurationPatch of(Configuration content) {
    return new ConfigurationPatch(
        List.copyOf(content.contracts().values()),
        List.copyOf(content.models().values()),
        List.copyOf(content.adapters().values()),
        List.copyOf(content.engines().values()),
        List.copyOf(content.services().values()),
        Optional.of(content.limits()),
        Removals.NONE);
  }

  /** Returns the patch that turns one configuration into another; empty if they are equal. */
  public static ConfigurationPatch between(Configuration from, Configuration to) {
    return ConfigurationDiff.between(from, to);
  }

  /** Returns the configuration that results from applying this patch. */
  public Configuration applyTo(Configuration base) {
    return ConfigurationDiff.apply(this, base);
  }

  /** Returns whether the patch changes nothing. */
  public boolean isEmpty() {
    return equals(EMPTY);
  }
}
