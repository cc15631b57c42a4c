package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EngineStateTest {
  private static final ModelKey MODEL = ModelKey.of("m1");
  private static final ModelKey ADAPTER = ModelKey.of("m1", "a1");

  /** Guards against an entry written while an adapter was loading that hides the adapter. */
  @Test
  void keepsAnAdapterThatAnEntryOfTheSameOrdersDoesNotName() {
    EngineState engine =
        EngineState.of(GatewayFixture.entry("g1", "llm", 1, 4, MODEL))
            .withHolding(h -> h.withChange(ADAPTER, true, 5));

    EngineState next = engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 5, MODEL));

    assertThat(next.holds(ADAPTER)).isTrue();
  }

  /** Guards against calls to a model that the engine was ordered to drop and still lists. */
  @Test
  void doesNotTakeADroppedModelBackFromALateEntry() {
    EngineState engine =
        EngineState.of(GatewayFixture.entry("g1", "llm", 1, 4, MODEL, ADAPTER))
            .withHolding(h -> h.withChange(MODEL, false, 5));

    EngineState next = engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 5, MODEL));

    assertThat(next.holds(MODEL)).isFalse();
    assertThat(next.holds(ADAPTER)).isFalse();
  }

  /** Guards against an older entry that overwrites what later orders have changed. */
  @Test
  void ignoresWhatAnEntryWithFewerOrdersHolds() {
    EngineState engine =
        EngineState.of(GatewayFixture.entry("g1", "llm", 1, 4, MODEL))
            .withHolding(h -> h.withChange(ADAPTER, true, 6));

    assertThat(engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 5)).holds(MODEL)).isTrue();
  }

  /** Guards against an engine that came back empty under its old identifier. */
  @Test
  void forgetsEverythingAfterARestart() {
    EngineState engine = EngineState.of(GatewayFixture.entry("g1", "llm", 1, 9, MODEL));

    EngineState next = engine.withEntry(GatewayFixture.entry("g1", "llm", 2, 0));

    assertThat(next.holds(MODEL)).isFalse();
    assertThat(next.holding().asOfOrders()).isEqualTo(0);
  }

  /** Guards against a late entry of the start before. */
  @Test
  void ignoresAnEntryOfAnEarlierStart() {
    EngineState engine = EngineState.of(GatewayFixture.entry("g1", "llm", 2, 0));

    assertThat(engine.withEntry(GatewayFixture.entry("g1", "llm", 1, 9, MODEL))).isEqualTo(engine);
  }
}
