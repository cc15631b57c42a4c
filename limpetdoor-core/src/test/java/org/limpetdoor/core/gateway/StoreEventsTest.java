package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.id.BackendId;

class StoreEventsTest {
  private final GatewayFixture fixture = new GatewayFixture();

  private boolean isKnown(String engine) {
    return fixture.gateway().engines().find(new BackendId(engine)).isPresent();
  }

  private void removeEntry(String engine) {
    fixture.engineList(List.of(), List.of(new BackendId(engine)), false);
  }

  /** Guards against reverting to an older configuration when older records are read again. */
  @Test
  void neverPutsAnOlderVersionInForce() {
    fixture.routes(7, GatewayFixture.route("/a/", CallKind.IDEMPOTENT, 1));
    fixture.routes(6, GatewayFixture.route("/b/", CallKind.IDEMPOTENT, 1));

    assertThat(fixture.gateway().version()).isEqualTo(7);
  }

  /** Guards against new calls to an engine that is about to leave. */
  @Test
  void sendsNothingToADrainingEngine() {
    fixture.routes(1, GatewayFixture.route("/a/", CallKind.IDEMPOTENT, 1));
    fixture.engines(GatewayFixture.plain("e1").withDraining());

    fixture.call("/a/x", Optional.empty(), 1_000);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against new calls to an engine whose entry was removed. */
  @Test
  void removesAnEngineWhoseEntryWasRemoved() {
    fixture.engines(GatewayFixture.plain("e1"));
    fixture.advance(5_000);

    removeEntry("e1");

    assertThat(isKnown("e1")).isFalse();
  }

  /** Guards against the removal of live engines whose entries the store drops during an outage. */
  @Test
  void keepsEnginesWhoseEntriesExpireWhileTheStoreIsUnreachable() {
    fixture.engines(GatewayFixture.plain("e1"));
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.advance(5_000);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), true));

    removeEntry("e1");
    fixture.advance(2_000);
    assertThat(isKnown("e1")).isTrue();

    fixture.advance(600);
    assertThat(isKnown("e1")).isFalse();
  }

  /** Guards against the removal of an engine that was listed again in time. */
  @Test
  void keepsAnEngineThatIsListedAgain() {
    fixture.engines(GatewayFixture.plain("e1"));
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), true));
    removeEntry("e1");
    fixture.advance(1_000);

    fixture.engines(GatewayFixture.plain("e1"));
    fixture.advance(5_000);

    assertThat(isKnown("e1")).isTrue();
  }

  /**
   * Guards against stale engines whose removal is missing from the history that the store has
   * retained.
   */
  @Test
  void removesEnginesThatACompleteListDoesNotName() {
    fixture.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
    fixture.advance(5_000);

    fixture.engineList(List.of(GatewayFixture.plain("e2")), List.of(), true);

    assertThat(isKnown("e1")).isFalse();
    assertThat(isKnown("e2")).isTrue();
  }
}
