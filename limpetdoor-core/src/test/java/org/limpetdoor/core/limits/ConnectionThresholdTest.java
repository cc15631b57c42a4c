package org.limpetdoor.core.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how many connections one address may have. */
class ConnectionThresholdTest {
  private static final int CAPACITY = 900;
  private final ConnectionThreshold threshold = new ConnectionThreshold(CAPACITY);

  /** Guards against a balancer, through which all callers come, that gets too few connections. */
  @Test
  void oneAddressMayHaveEightNinthsOfAll() {
    assertThat(threshold.allows(800, 800)).isTrue();
    assertThat(threshold.allows(801, 801)).isFalse();
  }

  /** Guards against an address that leaves no connection for others. */
  @Test
  void anotherAddressHasRoomBesideAFullOne() {
    assertThat(threshold.allows(1, 801)).isTrue();
    assertThat(threshold.allows(1, CAPACITY)).isFalse();
  }

  /** Guards against a configured limit of one that allows none, or two. */
  @Test
  void aLowerLimitHoldsExactly() {
    assertThat(threshold.atMost(1).allows(1, 1)).isTrue();
    assertThat(threshold.atMost(1).allows(2, 2)).isFalse();
    assertThat(threshold.atMost(Integer.MAX_VALUE)).isEqualTo(threshold);
  }
}
