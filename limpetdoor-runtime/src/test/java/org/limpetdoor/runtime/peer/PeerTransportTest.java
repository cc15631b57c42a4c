package org.limpetdoor.runtime.peer;

import static com.google.common.truth.Truth.assertThat;

import java.io.DataOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

class PeerTransportTest {
  private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
  private static final byte[] OTHER_SECRET = "fedcba9876543210".getBytes(StandardCharsets.UTF_8);
  private static final int MAX_FRAME_BYTES = 4_096;
  private static final long EVENT_TIMEOUT_S = 20;
  private static final int MAX_SENDS = 200;
  private static final long POLL_MS = 100;

  /** Guards against messages that are lost or altered between two instances. */
  @Test
  void messagesPassBothWays() throws InterruptedException {
    RecordingListener listenerA = new RecordingListener();
    RecordingListener listenerB = new RecordingListener();
    try (PeerTransport a = start("a", SECRET, listenerA);
        PeerTransport b = start("b", SECRET, listenerB)) {
      a.connect(b.address());
      assertThat(listenerA.nextEvent()).isEqualTo("up b");
      assertThat(listenerB.nextEvent()).isEqualTo("up a");

      a.send(new InstanceId("b"), "hello".getBytes(StandardCharsets.UTF_8));
      assertThat(listenerB.nextEvent()).isEqualTo("message a hello");
      b.send(new InstanceId("a"), "answer".getBytes(StandardCharsets.UTF_8));
      assertThat(listenerA.nextEvent()).isEqualTo("message b answer");
    }
  }

  /** Guards against a link with a process that does not have the shared secret. */
  @Test
  void peerWithOtherSecretIsRejected() throws InterruptedException {
    RecordingListener listenerA = new RecordingListener();
    RecordingListener listenerB = new RecordingListener();
    try (PeerTransport a = start("a", OTHER_SECRET, listenerA);
        PeerTransport b = start("b", SECRET, listenerB)) {
      a.connect(b.address());
      assertThat(listenerB.nextEvent()).isEqualTo("failed AUTHENTICATION_FAILED");
      assertThat(listenerA.nextEvent()).isEqualTo("failed CLOSED");
    }
  }

  /** Guards against memory for long frames of a process that has not proved that it is a peer. */
  @Test
  void longFrameOfAStrangerClosesItsConnection() throws Exception {
    RecordingListener listener = new RecordingListener();
    int longFrameBytes = 1 << 20;
    try (PeerTransport transport = start("a", SECRET, longFrameBytes, listener);
        Socket stranger =
            new Socket(transport.address().getAddress(), transport.address().getPort())) {
      new DataOutputStream(stranger.getOutputStream()).writeInt(longFrameBytes / 2);
      assertThat(listener.nextEvent()).isEqualTo("failed FRAME_TOO_LARGE");
    }
  }

  /** Guards against buffering or delivering a frame that exceeds the maximum length. */
  @Test
  void oversizedFrameClosesLink() throws InterruptedException {
    RecordingListener listenerA = new RecordingListener();
    RecordingListener listenerB = new RecordingListener();
    try (PeerTransport a = start("a", SECRET, listenerA);
        PeerTransport b = start("b", SECRET, listenerB)) {
      a.connect(b.address());
      assertThat(listenerA.nextEvent()).isEqualTo("up b");
      assertThat(listenerB.nextEvent()).isEqualTo("up a");

      a.send(new InstanceId("b"), new byte[MAX_FRAME_BYTES]);
      assertThat(listenerB.nextEvent()).isEqualTo("down a FRAME_TOO_LARGE");
      assertThat(listenerA.nextEvent()).isEqualTo("down b CLOSED");
    }
  }

  /** Guards against a long message that ends its link because another one follows at once. */
  @Test
  void aLongMessageDoesNotEndTheLink() throws InterruptedException {
    RecordingListener listenerA = new RecordingListener();
    RecordingListener listenerB = new RecordingListener();
    try (PeerTransport a = start("a", SECRET, 16 << 20, listenerA);
        PeerTransport b = start("b", SECRET, 16 << 20, listenerB)) {
      a.connect(b.address());
      assertThat(listenerA.nextEvent()).isEqualTo("up b");
      assertThat(listenerB.nextEvent()).isEqualTo("up a");

      String text = "x".repeat(12_000_000);
      a.send(new InstanceId("b"), text.getBytes(StandardCharsets.UTF_8));
      a.send(new InstanceId("b"), "next".getBytes(StandardCharsets.UTF_8));

      assertThat(listenerB.nextEvent()).isEqualTo("message a " + text);
      assertThat(listenerB.nextEvent()).isEqualTo("message a next");
    }
  }

  /** Guards against a failed connection attempt that is not reported. */
  @Test
  void unreachablePeerIsReported() throws InterruptedException {
    RecordingListener listenerA = new RecordingListener();
    InetSocketAddress unusedAddress;
    try (PeerTransport b = start("b", SECRET, new RecordingListener())) {
      unusedAddress = b.address();
    }
    try (PeerTransport a = start("a", SECRET, listenerA)) {
      a.connect(unusedAddress);
      assertThat(listenerA.nextEvent()).isEqualTo("failed CONNECT_FAILED");
    }
  }

  /** Guards against losing both links when two instances dial each other at the same time. */
  @Test
  void dialingEachOtherKeepsOneLink() throws InterruptedException {
    RecordingListener listenerA = new RecordingListener();
    RecordingListener listenerB = new RecordingListener();
    try (PeerTransport a = start("a", SECRET, listenerA);
        PeerTransport b = start("b", SECRET, listenerB)) {
      a.connect(b.address());
      b.connect(a.address());
      // A message on the link that is closed as a duplicate may be lost, so it is sent repeatedly.
      assertThat(sendUntilReceived(a, listenerB)).isTrue();
    }
  }

  private static boolean sendUntilReceived(PeerTransport sender, RecordingListener receiver)
      throws InterruptedException {
    for (int attempt = 0; attempt < MAX_SENDS; attempt++) {
      sender.send(new InstanceId("b"), "hello".getBytes(StandardCharsets.UTF_8));
      if ("message a hello".equals(receiver.events.poll(POLL_MS, TimeUnit.MILLISECONDS))) {
        return true;
      }
    }
    return false;
  }

  private static PeerTransport start(String name, byte[] secret, PeerListener listener) {
    return start(name, secret, MAX_FRAME_BYTES, listener);
  }

  private static PeerTransport start(
      String name, byte[] secret, int maxFrameBytes, PeerListener listener) {
    PeerIdentity self = new PeerIdentity(new InstanceId(name), 1, new ZoneId("zone-1"));
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
    return PeerTransport.start(
        new PeerTransportSettings(self, address, secret, maxFrameBytes, EVENT_TIMEOUT_S * 1_000),
        listener);
  }

  private static final class RecordingListener implements PeerListener {
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    String nextEvent() throws InterruptedException {
      return events.poll(EVENT_TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void linkUp(PeerIdentity peer) {
      events.add("up " + peer.instance());
    }

    @Override
    public void linkDown(InstanceId peer, LinkError error) {
      events.add("down " + peer + " " + error);
    }

    @Override
    public void linkFailed(String address, LinkError error) {
      events.add("failed " + error);
    }

    @Override
    public boolean messageReceived(InstanceId peer, byte[] payload) {
      events.add("message " + peer + " " + new String(payload, StandardCharsets.UTF_8));
      return true;
    }
  }
}
