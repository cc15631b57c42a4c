package org.limpetdoor.core.agreed;

import java.util.ArrayList;
import java.util.List;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;

/** A small fleet for tests: engines of 100 MiB in three zones and models of 40 MiB. */
public final class Fleet {
  public static final int CAPACITY_MIB = 100;
  public static final int MODEL_MIB = 40;
  public static final long MAX_ORDER_DELAY_MS = 4_000;

  private Fleet() {}

  public static BackendId engineId(int number) {
    return new BackendId("engine-" + number);
  }

  public static ModelId modelId(int number) {
    return new ModelId("model-" + number);
  }

  /** Every second engine ignores fencing numbers. */
  public static Engine engine(int number, List<ModelId> initialModels) {
    FencingSupport fencing = number % 2 == 0 ? FencingSupport.CHECKED : FencingSupport.IGNORED;
    ZoneId zone = new ZoneId("zone-" + number % 3);
    return new Engine(
        engineId(number), zone, "127.0.0.1:1", 4, CAPACITY_MIB, fencing, initialModels);
  }

  public static Model model(int number, int minReplicas) {
    return new Model(modelId(number), "v1", MODEL_MIB, minReplicas, 500);
  }

  /**
   * Returns a publication of the whole fleet; engine i initially holds model i, if there is one.
   */
  public static ConfigurationPublished publication(int engines, int models, int minReplicas) {
    List<Engine> fleet = new ArrayList<>();
    List<Model> catalog = new ArrayList<>();
    for (int i = 0; i < models; i++) {
      catalog.add(model(i, minReplicas));
    }
    for (int i = 0; i < engines; i++) {
      fleet.add(engine(i, i < models ? List.of(modelId(i)) : List.of()));
    }
    Configuration content =
        Configuration.EMPTY
            .withModels(catalog)
            .withEngines(fleet)
            .withLimits(new PlatformLimits(2, 3, 25, MAX_ORDER_DELAY_MS));
    return new ConfigurationPublished(
        AgreedState.NO_VERSION, "operator", ConfigurationPatch.of(content));
  }
}
