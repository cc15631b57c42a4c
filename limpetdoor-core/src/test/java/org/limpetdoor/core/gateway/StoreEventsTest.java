package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.event.EnginesRead;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.id.BackendId;

class StoreEventsTest {
  private final GatewayFixture world = new GatewayFixture();

  private boolean isKnown(String engine) {
    return world.gateway().engines().find(new BackendId(engine)).isPresent();
  }

  private void removeEntry(String engine) {
    world.reduce(new EnginesRead(world.nowMs(), List.of(), List.of(new BackendId(engine)), false));
  }

  /** Guards against reverting to an older configuration when older records are read again. */
  @Test
  void neverPutsAnOlderVersionInForce() {
    world.routes(7, GatewayFixture.route("/a/", CallKind.IDEMPOTENT, 1));
    world.routes(6, GatewayFixture.route("/b/", CallKind.IDEMPOTENT, 1));

    assertThat(world.gateway().version()).isEqualTo(7);
  }

  /** Guards against new calls to an engine that is about to leave. */
  @Test
  void sendsNothingToADrainingEngine() {
    world.routes(1, GatewayFixture.route("/a/", CallKind.IDEMPOTENT, 1));
    world.engines(GatewayFixture.plain("e1").withDraining());

    world.call("/a/x", Optional.empty(), 1_000);

    assertThat(world.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against new calls to an engine whose entry was removed. */
  @Test
  void removesAnEngineWhoseEntryWasRemoved() {
    world.engines(GatewayFixture.plain("e1"));
    world.advance(5_000);

    removeEntry("e1");

    assertThat(isKnown("e1")).isFalse();
  }

  /** Guards against the removal of live engines whose entries the store drops during an outage. */
  @Test
  void keepsEnginesWhoseEntriesExpireWhileTheStoreIsUnreachable() {
    world.engines(GatewayFixture.plain("e1"));
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.advance(5_000);
    world.reduce(new StoreContactChanged(world.nowMs(), true));

    removeEntry("e1");
    world.advance(2_000);
    assertThat(isKnown("e1")).isTrue();

    world.advance(600);
    assertThat(isKnown("e1")).isFalse();
  }

  /** Guards against the removal of an engine that was listed again in time. */
  @Test
  void keepsAnEngineThatIsListedAgain() {
    world.engines(GatewayFixture.plain("e1"));
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.reduce(new StoreContactChanged(world.nowMs(), true));
    removeEntry("e1");
    world.advance(1_000);

    world.engines(GatewayFixture.plain("e1"));
    world.advance(5_000);

    assertThat(isKnown("e1")).isTrue();
  }

  /**
   * Guards against stale engines whose removal is missing from the history that the store has
   * retained.
   */
  @Test
  void removesEnginesThatACompleteListDoesNotName() {
    world.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
    world.advance(5_000);

    world.reduce(
        new EnginesRead(world.nowMs(), List.of(GatewayFixture.plain("e2")), List.of(), true));

    assertThat(isKnown("e1")).isFalse();
    assertThat(isKnown("e2")).isTrue();
  }
}
