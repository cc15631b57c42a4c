package org.limpetdoor.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;

/** The two organisations at their present sizes. */
enum Site {
  /** 3 zones, 8 and 3 engines, 15 models, 75 adapters. */
  COOPERATIVE(
      3, 75, 30, List.of(new EngineGroup("assistant", 8, 11), new EngineGroup("orders", 3, 4))),
  /** 4 zones, 6 and 4 engines, 13 models, 55 adapters. */
  EXCHANGE(
      4, 55, 25, List.of(new EngineGroup("drafting", 6, 8), new EngineGroup("reservations", 4, 5)));

  static final int INSTANCES = 7;

  /** More than three times the longest short answer of the workloads. */
  private static final int LONG_WORK_TOKENS = 200;

  final int zones;
  final List<EngineGroup> groups;
  private final int adapters;
  private final int adapterLoadsAtOnce;

  Site(int zones, int adapters, int adapterLoadsAtOnce, List<EngineGroup> groups) {
    this.zones = zones;
    this.adapters = adapters;
    this.adapterLoadsAtOnce = adapterLoadsAtOnce;
    this.groups = groups;
  }

  String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Returns the names of all models in a fixed order. */
  List<String> models() {
    return groups.stream()
        .flatMap(g -> Stream.iterate(0, i -> i < g.models(), i -> i + 1).map(i -> g.model(i)))
        .toList();
  }

  /** Returns the adapters of a model. */
  List<String> adapters(String model) {
    List<String> models = models();
    int first = models.indexOf(model);
    List<String> names = new ArrayList<>();
    for (int i = first; i < adapters; i += models.size()) {
      names.add(model + "-adapter-" + i);
    }
    return names;
  }

  Configuration configuration() {
    List<Model> models = new ArrayList<>();
    List<Adapter> all = new ArrayList<>();
    for (String name : models()) {
      models.add(new Model(new ModelId(name), "1", 8_000, 2, LONG_WORK_TOKENS));
      adapters(name)
          .forEach(adapter -> all.add(new Adapter(new AdapterId(adapter), new ModelId(name), 100)));
    }
    List<Engine> engines = new ArrayList<>();
    for (EngineGroup group : groups) {
      for (int i = 0; i < group.engines(); i++) {
        engines.add(engine(group, i));
      }
    }
    return Configuration.EMPTY
        .withContracts(Stream.of(Customer.values()).map(Customer::contract).toList())
        .withModels(models)
        .withAdapters(all)
        .withEngines(engines)
        .withLimits(new PlatformLimits(2, 3, adapterLoadsAtOnce, 30_000));
  }

  private Engine engine(EngineGroup group, int number) {
    List<ModelId> initialModels =
        Stream.iterate(0, m -> m < group.models(), m -> m + 1)
            .filter(m -> group.holds(number, m))
            .map(m -> new ModelId(group.model(m)))
            .toList();
    return new Engine(
        new BackendId(group.name() + "-" + number),
        new ZoneId("zone-" + number % zones),
        "127.0.0.1:" + (9_000 + number),
        EngineGroup.SLOTS,
        80_000,
        FencingSupport.CHECKED,
        initialModels);
  }

  /** Returns the engines of each model, ordered by identifier. */
  static Map<ModelId, List<Engine>> enginesByModel(Configuration configuration) {
    Map<ModelId, List<Engine>> enginesByModel = new HashMap<>();
    configuration.engines().values().stream()
        .sorted(java.util.Comparator.comparing(Engine::id))
        .forEach(
            engine ->
                engine
                    .initialModels()
                    .forEach(
                        m ->
                            enginesByModel.computeIfAbsent(m, k -> new ArrayList<>()).add(engine)));
    return enginesByModel;
  }
}
