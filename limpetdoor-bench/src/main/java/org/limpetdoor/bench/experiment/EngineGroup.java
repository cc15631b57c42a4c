package org.limpetdoor.bench.experiment;

/**
 * A group of engines that share a set of models.
 *
 * @param name prefix of the names of its engines and models
 * @param engines number of engines
 * @param models number of models, each on several of the engines
 */
record EngineGroup(String name, int engines, int models) {
  static final int SLOTS = 8;
  private static final int REPLICAS = 4;

  /** Returns whether an engine holds a model. */
  boolean holds(int engine, int model) {
    int distance = Math.floorMod(engine - model, engines);
    return distance < Math.min(REPLICAS, engines);
  }

  String model(int number) {
    return name + "-model-" + number;
  }

  int slots() {
    return engines * SLOTS;
  }

  /** Returns the total slots of the engines with one model. */
  int slotsOfModel() {
    return Math.min(REPLICAS, engines) * SLOTS;
  }

  /** Returns the popularity of a model relative to the others. */
  int popularity(int model) {
    return 1 + model % 3;
  }
}
