package org.limpetdoor.format.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;
import org.limpetdoor.core.membership.PeerMessage.Heartbeat;
import org.limpetdoor.core.membership.PeerMessage.Leaving;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;
import org.limpetdoor.core.membership.PeerMessage.ModelRequested;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;

class PeerMessageCodecTest {
  private static final List<PeerMessage> MESSAGES =
      List.of(
          new Heartbeat(3, -1),
          new Leaving(),
          new LoadDigest(
              7,
              true,
              41,
              HashTreePMap.singleton(new BackendId("g1"), 3),
              HashTreePMap.singleton(new BackendId("g2"), 74),
              HashTreePSet.singleton(ModelKey.of("m1", "a2")),
              HashTreePMap.singleton(ModelKey.of("m1", "a1"), 2),
              HashTreePMap.singleton(-5L, 1)),
          new DutyReleased(41),
          new DutyHandedOver(42),
          new ModelRequested("llm", ModelKey.of("m1")),
          new LoadedModelChanged(new BackendId("g1"), 1, 9, ModelKey.of("m1", "a1"), true));

  /** Guards against fields that are encoded and decoded in different orders. */
  @Test
  void messagesRoundTrip() {
    for (PeerMessage message : MESSAGES) {
      assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message))).isEqualTo(message);
    }
  }

  /** Guards against an untyped exception, which would reach the traffic thread. */
  @Test
  void rejectsTruncatedAndUnknownFrames() {
    for (PeerMessage message : MESSAGES) {
      byte[] bytes = PeerMessageCodec.encode(message);
      byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
      assertThrows(MalformedFrameException.class, () -> PeerMessageCodec.decode(truncated));
    }
    assertThrows(MalformedFrameException.class, () -> PeerMessageCodec.decode(new byte[] {99}));
  }
}
