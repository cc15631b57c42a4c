package org.limpetdoor.bench;

import java.util.ArrayList;
import java.util.List;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;

/** Creates configurations of a given size. */
final class FleetConfiguration {
  static final int ZONES = 6;
  static final int CUSTOMERS = 100;
  private static final int SLOTS = 32;
  private static final int ENGINE_MEMORY_MIB = 320_000;
  private static final int MODEL_MEMORY_MIB = 80_000;
  private static final int MODELS_PER_ENGINE = 3;
  private static final double UNLIMITED_RATE = 1e9;
  private static final int UNLIMITED_BURST = 1_000_000_000;

  private FleetConfiguration() {}

  /** Returns a configuration in which each engine has three of the models as initial models. */
  static Configuration of(int engines, int models) {
    return Configuration.EMPTY
        .withContracts(contracts())
        .withModels(models(models))
        .withEngines(engines(engines, models));
  }

  /** Returns a copy in which one contract has another weight. */
  static Configuration withContractWeight(Configuration base, int weight) {
    List<Contract> contracts = new ArrayList<>(base.contracts().values());
    Contract first = contracts.remove(0);
    contracts.add(
        new Contract(
            first.customer(),
            first.keyDigests(),
            first.arrival(),
            first.queue(),
            first.firstTokenObjectiveMs(),
            first.guaranteedShare(),
            weight,
            first.shedOrder()));
    return base.withContracts(contracts);
  }

  /** Returns a copy in which one engine has another number of slots. */
  static Configuration withEngineSlots(Configuration base, int slots) {
    List<Engine> engines = new ArrayList<>(base.engines().values());
    Engine first = engines.remove(0);
    engines.add(
        new Engine(
            first.id(),
            first.zone(),
            first.address(),
            slots,
            first.memoryMib(),
            first.fencing(),
            first.initialModels()));
    return base.withEngines(engines);
  }

  static KeyDigest key(int customer) {
    return new KeyDigest(String.format("%064x", customer));
  }

  static ModelId model(int number) {
    return new ModelId("model-" + number);
  }

  private static List<Contract> contracts() {
    List<Contract> contracts = new ArrayList<>();
    for (int i = 0; i < CUSTOMERS; i++) {
      contracts.add(
          new Contract(
              new CustomerId("customer-" + i),
              List.of(key(i)),
              new ArrivalLimit(UNLIMITED_RATE, UNLIMITED_BURST, UNLIMITED_RATE, UNLIMITED_BURST),
              new QueueLimit(1_000, 1_000_000),
              700,
              0.5 / CUSTOMERS,
              1,
              ShedOrder.NORMAL));
    }
    return contracts;
  }

  private static List<Model> models(int count) {
    List<Model> models = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      models.add(new Model(model(i), "1", MODEL_MEMORY_MIB, 2, 1_000));
    }
    return models;
  }

  private static List<Engine> engines(int count, int models) {
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(
          new Engine(
              new BackendId("engine-" + i),
              new ZoneId("zone-" + i % ZONES),
              "10.0." + i / 250 + "." + i % 250 + ":8000",
              SLOTS,
              ENGINE_MEMORY_MIB,
              i % 2 == 0 ? FencingSupport.CHECKED : FencingSupport.IGNORED,
              initialModels(i, models)));
    }
    return engines;
  }

  private static List<ModelId> initialModels(int engine, int models) {
    List<ModelId> initial = new ArrayList<>();
    for (int k = 0; k < Math.min(models, MODELS_PER_ENGINE); k++) {
      initial.add(model((engine * MODELS_PER_ENGINE + k) % models));
    }
    return initial;
  }
}
