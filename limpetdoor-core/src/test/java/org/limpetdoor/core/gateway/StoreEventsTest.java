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
  private final GatewayWorld world = new GatewayWorld();

  private boolean known(String engine) {
    return world.gateway().engines().find(new BackendId(engine)).isPresent();
  }

  private void removed(String engine) {
    world.reduce(new EnginesRead(world.nowMs(), List.of(), List.of(new BackendId(engine)), false));
  }

  /** Guards against a version that goes back when older records are read again. */
  @Test
  void neverPutsAnOlderVersionInForce() {
    world.routes(7, GatewayWorld.route("/a/", CallKind.IDEMPOTENT, 1));
    world.routes(6, GatewayWorld.route("/b/", CallKind.IDEMPOTENT, 1));

    assertThat(world.gateway().version()).isEqualTo(7);
  }

  /** Guards against new work for an engine that is about to leave. */
  @Test
  void sendsNothingToADrainingEngine() {
    world.routes(1, GatewayWorld.route("/a/", CallKind.IDEMPOTENT, 1));
    world.engines(GatewayWorld.plain("e1").withDraining());

    world.call("/a/x", Optional.empty(), 1_000);

    assertThat(world.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against new work for an engine whose entry was removed. */
  @Test
  void forgetsARemovedEngine() {
    world.engines(GatewayWorld.plain("e1"));
    world.advance(5_000);

    removed("e1");

    assertThat(known("e1")).isFalse();
  }

  /** Guards against the loss of engines that live, while the store drops entries. */
  @Test
  void keepsEnginesThatLapseWhileTheStoreIsAway() {
    world.engines(GatewayWorld.plain("e1"));
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.advance(5_000);
    world.reduce(new StoreContactChanged(world.nowMs(), true));

    removed("e1");
    world.advance(2_000);
    assertThat(known("e1")).isTrue();

    world.advance(600);
    assertThat(known("e1")).isFalse();
  }

  /** Guards against an engine that is dropped although it was listed again in time. */
  @Test
  void keepsAnEngineThatIsListedAgain() {
    world.engines(GatewayWorld.plain("e1"));
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.reduce(new StoreContactChanged(world.nowMs(), true));
    removed("e1");
    world.advance(1_000);

    world.engines(GatewayWorld.plain("e1"));
    world.advance(5_000);

    assertThat(known("e1")).isTrue();
  }

  /** Guards against engines that stay known after a history that was forgotten. */
  @Test
  void dropsEnginesThatACompleteListDoesNotName() {
    world.engines(GatewayWorld.plain("e1"), GatewayWorld.plain("e2"));
    world.advance(5_000);

    world.reduce(
        new EnginesRead(world.nowMs(), List.of(GatewayWorld.plain("e2")), List.of(), true));

    assertThat(known("e1")).isFalse();
    assertThat(known("e2")).isTrue();
  }
}
