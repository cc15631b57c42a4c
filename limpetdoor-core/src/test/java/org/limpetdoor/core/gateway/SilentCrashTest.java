package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.id.BackendId;

/** Tests a request that crashes engines whose machines then close no connection. */
class SilentCrashTest {
  private static final int TIME_LIMIT_MS = 1_000;

  private final GatewayFixture fixture = new GatewayFixture();
  private final List<EngineEntry> engines = new ArrayList<>();

  @BeforeEach
  void setUp() {
    fixture.routes(1, GatewayFixture.route("/once/", CallKind.AT_MOST_ONCE, 2));
    for (int i = 0; i < 8; i++) {
      engines.add(GatewayFixture.plain("e" + i));
    }
    fixture.engines(engines.toArray(EngineEntry[]::new));
  }

  /** Sends the request, whose engine stays silent until the call has expired, and returns it. */
  private BackendId sendToSilentEngine() {
    long id = fixture.call("/once/x", Optional.empty(), TIME_LIMIT_MS);
    ForwardCall attempt = fixture.take(ForwardCall.class).get(0);
    fixture.advance(500);
    fixture.reduce(new ForwardSilent(fixture.nowMs(), id, attempt.attempt()));
    fixture.advance(TIME_LIMIT_MS);
    fixture.take(ReplyToCall.class);
    return attempt.engine();
  }

  private void removeEntry(BackendId engine) {
    fixture.engineList(List.of(), List.of(engine), false);
    fixture.advance(1_000);
  }

  private boolean isSent() {
    fixture.take(ForwardCall.class);
    fixture.call("/once/x", Optional.empty(), TIME_LIMIT_MS);
    return !fixture.take(ForwardCall.class).isEmpty();
  }

  /** Guards against a request that takes engines down silently and is never refused. */
  @Test
  void refusesARequestWhoseEnginesBecomeSilentAndLeaveTheList() {
    for (int i = 0; i < 3; i++) {
      removeEntry(sendToSilentEngine());
    }

    fixture.take(ReplyToCall.class);
    fixture.call("/once/x", Optional.empty(), TIME_LIMIT_MS);
    assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.CRASH_SUSPECT);
  }

  /**
   * Guards against an engine that starts again under its identifier before its entry is removed.
   */
  @Test
  void refusesARequestWhoseEnginesBecomeSilentAndStartAgain() {
    for (int i = 0; i < 3; i++) {
      BackendId crashed = sendToSilentEngine();
      fixture.engineList(
          List.of(GatewayFixture.entry(crashed.value(), "plain", 2 + i, 0)), List.of(), false);
      fixture.advance(1_000);
    }

    assertThat(isSent()).isFalse();
  }

  /** Guards against refusing a request whose engines were only slow before they were taken away. */
  @Test
  void anEngineThatRespondsLaterHasNotCrashed() {
    for (int i = 0; i < 4; i++) {
      BackendId slow = sendToSilentEngine();
      endOtherCallAt(slow, ForwardResult.ERROR_ANSWER);
      removeEntry(slow);
    }

    assertThat(isSent()).isTrue();
  }

  /** Guards against counting slow calls at an engine that other requests crash. */
  @Test
  void anEngineThatClosesAConnectionWasNotSilent() {
    for (int i = 0; i < 4; i++) {
      BackendId crashed = sendToSilentEngine();
      endOtherCallAt(crashed, ForwardResult.CONNECTION_LOST);
      removeEntry(crashed);
    }

    assertThat(isSent()).isTrue();
  }

  /** Guards against refusing a request because its engines left as planned. */
  @Test
  void anEngineThatWasDrainingHasNotCrashed() {
    for (int i = 0; i < 4; i++) {
      BackendId leaving = sendToSilentEngine();
      EngineEntry entry = GatewayFixture.plain(leaving.value()).withDraining();
      fixture.engineList(List.of(entry), List.of(), false);
      removeEntry(leaving);
    }

    assertThat(isSent()).isTrue();
  }

  /** Sends other requests until one is sent to the engine, and ends it. */
  private void endOtherCallAt(BackendId engine, ForwardResult result) {
    for (int i = 0; i < 200; i++) {
      fixture.take(ForwardCall.class);
      long id = fixture.call("/once/y", Optional.empty(), TIME_LIMIT_MS, 1_000 + fixture.nowMs());
      List<ForwardCall> sent = fixture.take(ForwardCall.class);
      if (!sent.isEmpty() && sent.get(0).engine().equals(engine)) {
        fixture.endForward(id, sent.get(0).attempt(), result);
        return;
      }
      fixture.advance(20);
    }
    throw new AssertionError("no call was sent to " + engine);
  }
}
