package org.limpetdoor.core.config;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The complete configuration that operators publish. Instances use only the version in force.
 *
 * @param contracts contracts by customer
 * @param models models by name
 * @param adapters adapters by name
 * @param engines engines by identifier
 * @param services plain services by name
 * @param limits limits of the platform
 * @param customersByKey customer of each key digest, derived from the contracts
 */
public record Configuration(
    PMap<CustomerId, Contract> contracts,
    PMap<ModelId, Model> models,
    PMap<AdapterId, Adapter> adapters,
    PMap<BackendId, Engine> engines,
    PMap<ServiceId, PlainService> services,
    PlatformLimits limits,
    PMap<KeyDigest, CustomerId> customersByKey) {

  /** The configuration before the first publication. */
  public static final Configuration EMPTY =
      new Configuration(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          PlatformLimits.DEFAULT,
          HashTreePMap.empty());

  /** Returns a copy with the given contracts and the key index derived from them. */
  public Configuration withContracts(Collection<Contract> values) {
    PMap<KeyDigest, CustomerId> keys = HashTreePMap.empty();
    for (Contract contract : values) {
      for (KeyDigest digest : contract.keyDigests()) {
        keys = keys.plus(digest, contract.customer());
      }
    }
    PMap<CustomerId, Contract> byCustomer = index(values, Contract::customer);
    return new Configuration(byCustomer, models, adapters, engines, services, limits, keys);
  }

  /** Returns a copy with the given models. */
  public Configuration withModels(Collection<Model> values) {
    return new Configuration(
        contracts, index(values, Model::id), adapters, engines, services, limits, customersByKey);
  }

  /** Returns a copy with the given adapters. */
  public Configuration withAdapters(Collection<Adapter> values) {
    return new Configuration(
        contracts, models, index(values, Adapter::id), engines, services, limits, customersByKey);
  }

  /** Returns a copy with the given engines. */
  public Configuration withEngines(Collection<Engine> values) {
    return new Configuration(
        contracts, models, adapters, index(values, Engine::id), services, limits, customersByKey);
  }

  /** Returns a copy with the given plain services. */
  public Configuration withServices(Collection<PlainService> values) {
    return new Configuration(
        contracts,
        models,
        adapters,
        engines,
        index(values, PlainService::id),
        limits,
        customersByKey);
  }

  /** Returns a copy with the given limits of the platform. */
  public Configuration withLimits(PlatformLimits value) {
    return new Configuration(contracts, models, adapters, engines, services, value, customersByKey);
  }

  /** Returns the contract of the customer that a key identifies. */
  public Optional<Contract> contractOf(KeyDigest key) {
    return Optional.ofNullable(customersByKey.get(key)).map(contracts::get);
  }

  private static <K, V> PMap<K, V> index(Collection<V> values, Function<V, K> key) {
    PMap<K, V> map = HashTreePMap.empty();
    for (V value : values) {
      map = map.plus(key.apply(value), value);
    }
    return map;
  }
}
