package org.limpetdoor.runtime.peer;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
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
  private static final long WAIT_S = 20;
  private static final int MAX_SENDS = 200;
  private static final long POLL_MS = 100;

  /** Guards against messages that are lost or altered between two instances. */
  @Test
  void messagesPassBothWays() throws InterruptedException {
    Log logA = new Log();
    Log logB = new Log();
    try (PeerTransport a = start("a", SECRET, logA);
        PeerTransport b = start("b", SECRET, logB)) {
      a.connect(b.address());
      assertThat(logA.next()).isEqualTo("up b");
      assertThat(logB.next()).isEqualTo("up a");

      a.send(new InstanceId("b"), "hello".getBytes(StandardCharsets.UTF_8));
      assertThat(logB.next()).isEqualTo("message a hello");
      b.send(new InstanceId("a"), "answer".getBytes(StandardCharsets.UTF_8));
      assertThat(logA.next()).isEqualTo("message b answer");
    }
  }

  /** Guards against a link with a process that does not have the shared secret. */
  @Test
  void strangerIsRefusedWithTypedReason() throws InterruptedException {
    Log logA = new Log();
    Log logB = new Log();
    try (PeerTransport a = start("a", OTHER_SECRET, logA);
        PeerTransport b = start("b", SECRET, logB)) {
      a.connect(b.address());
      assertThat(logB.next()).isEqualTo("failed AUTHENTICATION_FAILED");
      assertThat(logA.next()).isEqualTo("failed CLOSED");
    }
  }

  /** Guards against buffering or delivering a frame that exceeds the maximum length. */
  @Test
  void oversizedFrameEndsLink() throws InterruptedException {
    Log logA = new Log();
    Log logB = new Log();
    try (PeerTransport a = start("a", SECRET, logA);
        PeerTransport b = start("b", SECRET, logB)) {
      a.connect(b.address());
      assertThat(logA.next()).isEqualTo("up b");
      assertThat(logB.next()).isEqualTo("up a");

      a.send(new InstanceId("b"), new byte[MAX_FRAME_BYTES]);
      assertThat(logB.next()).isEqualTo("down a FRAME_TOO_LARGE");
      assertThat(logA.next()).isEqualTo("down b CLOSED");
    }
  }

  /** Guards against a failed connection attempt that is not reported. */
  @Test
  void unreachablePeerIsReported() throws InterruptedException {
    Log logA = new Log();
    InetSocketAddress closed;
    try (PeerTransport b = start("b", SECRET, new Log())) {
      closed = b.address();
    }
    try (PeerTransport a = start("a", SECRET, logA)) {
      a.connect(closed);
      assertThat(logA.next()).isEqualTo("failed CONNECT_FAILED");
    }
  }

  /** Guards against losing both links when two instances dial each other at the same time. */
  @Test
  void dialingEachOtherKeepsOneLink() throws InterruptedException {
    Log logA = new Log();
    Log logB = new Log();
    try (PeerTransport a = start("a", SECRET, logA);
        PeerTransport b = start("b", SECRET, logB)) {
      a.connect(b.address());
      b.connect(a.address());
      // A message on the link that is closed as a duplicate may be lost, so it is sent repeatedly.
      assertThat(sendUntilReceived(a, logB)).isTrue();
    }
  }

  private static boolean sendUntilReceived(PeerTransport from, Log to) throws InterruptedException {
    for (int attempt = 0; attempt < MAX_SENDS; attempt++) {
      from.send(new InstanceId("b"), "hello".getBytes(StandardCharsets.UTF_8));
      if ("message a hello".equals(to.lines.poll(POLL_MS, TimeUnit.MILLISECONDS))) {
        return true;
      }
    }
    return false;
  }

  private static PeerTransport start(String name, byte[] secret, PeerListener listener) {
    PeerIdentity self = new PeerIdentity(new InstanceId(name), 1, new ZoneId("zone-1"));
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
    return PeerTransport.start(
        new PeerTransportSettings(self, address, secret, MAX_FRAME_BYTES, WAIT_S * 1_000),
        listener);
  }

  private static final class Log implements PeerListener {
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    String next() throws InterruptedException {
      return lines.poll(WAIT_S, TimeUnit.SECONDS);
    }

    @Override
    public void linkUp(PeerIdentity peer) {
      lines.add("up " + peer.instance());
    }

    @Override
    public void linkDown(InstanceId peer, LinkError error) {
      lines.add("down " + peer + " " + error);
    }

    @Override
    public void linkFailed(String address, LinkError error) {
      lines.add("failed " + error);
    }

    @Override
    public boolean messageReceived(InstanceId peer, byte[] payload) {
      lines.add("message " + peer + " " + new String(payload, StandardCharsets.UTF_8));
      return true;
    }
  }
}
