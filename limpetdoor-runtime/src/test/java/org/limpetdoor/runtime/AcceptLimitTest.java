package org.limpetdoor.runtime;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.limits.ConnectionThreshold;

/** Tests which connection is closed when there are too many. */
class AcceptLimitTest {
  private static final int CAPACITY = 9;

  private final Set<Channel> serving = new HashSet<>();
  private final List<OverloadReason> overloads = new ArrayList<>();
  private final EmbeddedChannel server =
      new EmbeddedChannel(
          new AcceptLimit(new ConnectionThreshold(CAPACITY), serving::contains, overloads::add));

  private EmbeddedChannel connect(int lastByte) throws Exception {
    InetAddress address = InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) lastByte});
    EmbeddedChannel accepted =
        new EmbeddedChannel() {
          @Override
          protected SocketAddress remoteAddress0() {
            return new InetSocketAddress(address, 1);
          }
        };
    server.writeInbound(accepted);
    return accepted;
  }

  /** Guards against a crowd from one address beside which a new caller is not accepted. */
  @Test
  void closesTheOldestConnectionThatServesNoRequest() throws Exception {
    EmbeddedChannel busy = connect(1);
    serving.add(busy);
    EmbeddedChannel oldest = connect(1);
    for (int i = 0; i < 6; i++) {
      connect(1);
    }
    assertThat(overloads).isEmpty();

    EmbeddedChannel ordinary = connect(1);

    assertThat(overloads).containsExactly(OverloadReason.CONNECTIONS);
    assertThat(oldest.isOpen()).isFalse();
    assertThat(busy.isOpen()).isTrue();
    assertThat(ordinary.isOpen()).isTrue();
    assertThat(connect(2).isOpen()).isTrue();
  }

  /** Guards against a call that loses its connection to a newer one. */
  @Test
  void refusesAConnectionIfAllServeRequests() throws Exception {
    for (int i = 0; i < 8; i++) {
      serving.add(connect(1));
    }
    assertThat(connect(1).isOpen()).isFalse();
    assertThat(serving.stream().allMatch(Channel::isOpen)).isTrue();
  }
}
