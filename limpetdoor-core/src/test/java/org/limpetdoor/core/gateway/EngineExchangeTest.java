package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class EngineExchangeTest {
  private static final Optional<String> NONE = Optional.empty();
  private static final Optional<String> OWN = Optional.of("c1");
  private static final Optional<String> OTHER = Optional.of("c0");

  /** Guards against a copy of an earlier response that is taken for the response. */
  @Test
  void usedConnectionNeedsTheEchoedIdentifier() {
    EngineExchange exchange = new EngineExchange(OWN, true, false);

    assertThat(exchange.isDistinguishable()).isTrue();
    assertThat(exchange.ownsResponse(OWN)).isTrue();
    assertThat(exchange.ownsResponse(OTHER)).isFalse();
    assertThat(exchange.ownsResponse(NONE)).isFalse();
  }

  /** Guards against waiting for an identifier that the engine leaves out on a new connection. */
  @Test
  void newConnectionHasNoResponseToCopy() {
    EngineExchange exchange = new EngineExchange(OWN, false, false);

    assertThat(exchange.isDistinguishable()).isTrue();
    assertThat(exchange.ownsResponse(OWN)).isTrue();
    assertThat(exchange.ownsResponse(NONE)).isTrue();
    assertThat(exchange.ownsResponse(OTHER)).isFalse();
  }

  /** Guards against a copy that bears the identifier of the request. */
  @Test
  void sameOrAbsentIdentifierIsNotDistinguishableOnAUsedConnection() {
    assertThat(new EngineExchange(OWN, true, true).isDistinguishable()).isFalse();
    assertThat(new EngineExchange(NONE, true, false).isDistinguishable()).isFalse();
    assertThat(new EngineExchange(NONE, false, false).isDistinguishable()).isTrue();
  }
}
