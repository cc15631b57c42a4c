package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EngineStateTest {
  private static final ModelKey MODEL = ModelKey.of("m1");
  private static final ModelKey ADAPTER = ModelKey.of("m1", "a1");

  /** Guards against losing an adapter to an entry that was written while it was still loading. */
  @Test
  void keepsAnAdapterMissingFromAnEntryWithTheSameOrders() {
    EngineState engine =
        EngineState.of(GatewayFixture.entry("g1", "llm", 1, 4, MODEL))
            .withLoadedModels(models -> models.withChange(ADAPTER, true, 5));

    EngineState next = engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 5, MODEL));

    assertThat(next.holds(ADAPTER)).isTrue();
  }

  /** Guards against sending calls for an unloaded model that an outdated entry still lists. */
  @Test
  void doesNotRestoreAnUnloadedModelFromALateEntry() {
    EngineState engine =
        EngineState.of(GatewayFixture.entry("g1", "llm", 1, 4, MODEL, ADAPTER))
            .withLoadedModels(models -> models.withChange(MODEL, false, 5));

    EngineState next = engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 5, MODEL));

    assertThat(next.holds(MODEL)).isFalse();
    assertThat(next.holds(ADAPTER)).isFalse();
  }

  /** Guards against an older entry that overwrites the changes made by later orders. */
  @Test
  void ignoresTheLoadedModelsOfAnEntryWithFewerOrders() {
    EngineState engine =
        EngineState.of(GatewayFixture.entry("g1", "llm", 1, 4, MODEL))
            .withLoadedModels(models -> models.withChange(ADAPTER, true, 6));

    assertThat(engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 5)).holds(MODEL)).isTrue();
  }

  /** Guards against stale state of an engine that restarted empty under the same identifier. */
  @Test
  void resetsTheStateAfterARestart() {
    EngineState engine = EngineState.of(GatewayFixture.entry("g1", "llm", 1, 9, MODEL));

    EngineState next = engine.withEntry(GatewayFixture.entry("g1", "llm", 2, 0));

    assertThat(next.holds(MODEL)).isFalse();
    assertThat(next.loadedModels().asOfOrders()).isEqualTo(0);
  }

  /** Guards against applying a late entry from an earlier start of the engine. */
  @Test
  void ignoresAnEntryOfAnEarlierStart() {
    EngineState engine = EngineState.of(GatewayFixture.entry("g1", "llm", 2, 0));

    assertThat(engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 9, MODEL))).isEqualTo(engine);
  }
}
