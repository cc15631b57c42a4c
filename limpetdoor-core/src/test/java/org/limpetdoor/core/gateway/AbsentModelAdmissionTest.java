package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.ReplyToCall;

/** Tests what callers get while demand moves to a model that no engine has loaded. */
class AbsentModelAdmissionTest {
  private static final ModelKey M2 = ModelKey.of("m2");
  private static final long LOAD_MS = 2_000;

  private final GatewayFixture fixture = new GatewayFixture();

  private void setUp() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 3, ModelKey.of("m1")));
    fixture.take(ReplyToCall.class);
  }

  /** Guards against calls that wait for a load that ends after they have been refused. */
  @Test
  void refusesACallAtOnceUntilTheModelIsExpected() {
    setUp();

    fixture.call("/m/x", Optional.of(M2), 10_000);

    List<ReplyToCall> replies = fixture.take(ReplyToCall.class);
    assertThat(replies).hasSize(1);
    assertThat(replies.get(0).reply()).isEqualTo(Reply.MODEL_ABSENT);
    assertThat(replies.get(0).retryAfterMs()).isAtLeast(LOAD_MS);
    assertThat(replies.get(0).retryAfterMs()).isAtMost(10_000 / 3);
  }

  /** Guards against an estimate that starts again with each call. */
  @Test
  void aCallThatCanBeServedSoonWaitsAndIsServed() {
    setUp();
    fixture.call("/m/x", Optional.of(M2), 10_000);
    fixture.advance(LOAD_MS);
    fixture.take(ReplyToCall.class);

    long second = fixture.call("/m/x", Optional.of(M2), 10_000);
    fixture.advance(400);
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 5, M2));

    assertThat(fixture.take(ForwardCall.class).get(0).call()).isEqualTo(second);
  }

  /** Guards against telling callers to stay away for longer than they are willing to. */
  @Test
  void boundsTheTimeByThatOfTheCaller() {
    setUp();

    fixture.call("/m/x", Optional.of(M2), 3_000);

    assertThat(fixture.take(ReplyToCall.class).get(0).retryAfterMs()).isAtMost(1_000);
  }

  /** Guards against refusing all calls of a model whose load takes longer than expected. */
  @Test
  void callsWaitForAnOverdueModel() {
    setUp();
    fixture.call("/m/x", Optional.of(M2), 10_000);
    fixture.advance(LOAD_MS + 1_000);
    fixture.take(ReplyToCall.class);

    fixture.call("/m/x", Optional.of(M2), 10_000);

    assertThat(fixture.take(ReplyToCall.class)).isEmpty();
    assertThat(fixture.gateway().waitingCalls()).isEqualTo(1);
  }
}
