package org.limpetdoor.runtime.crowd;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;

/**
 * Connections that send as much as the other side takes and read nothing. They send on a thread of
 * their own until the crowd is closed; a connection that the other side closes is not opened again.
 */
public final class CallerCrowd implements AutoCloseable {
  /** Time without any progress after which the other side takes no more, in milliseconds. */
  private static final long QUIET_MS = 1_000;

  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final Selector selector = Selector.open();
  private final Thread sender = new Thread(this::send, "crowd");
  private final CompletableFuture<Void> settled = new CompletableFuture<>();
  private final int connections;
  private final long settledAtBytes;
  private volatile boolean closed;
  private int openedConnections;
  private long sentBytes;

  private CallerCrowd(int connections, long settledAtBytes) throws IOException {
    this.connections = connections;
    this.settledAtBytes = settledAtBytes;
  }

  /**
   * Opens connections that begin to send.
   *
   * @param address address of the other side
   * @param connections number of connections
   * @param script what each connection sends
   * @param settledAtBytes length of what all connections have sent together at which the crowd
   *     counts as settled, in bytes, even if it can send more
   */
  public static CallerCrowd open(
      InetSocketAddress address, int connections, Script script, long settledAtBytes)
      throws IOException {
    CallerCrowd crowd = new CallerCrowd(connections, settledAtBytes);
    byte[] beginning = script.beginningBytes();
    byte[] block = script.blockBytes();
    for (int i = 0; i < connections; i++) {
      crowd.connect(address, new Rest(beginning, block, script.repetitions()));
    }
    crowd.sender.setDaemon(true);
    crowd.sender.start();
    return crowd;
  }

  /**
   * Waits until all has been sent, or the other side takes nothing more, or it has taken as much as
   * was stated when the crowd was opened.
   */
  public void awaitSettled() {
    settled.join();
  }

  /** Closes all connections. */
  @Override
  public void close() throws IOException {
    closed = true;
    selector.wakeup();
    try {
      sender.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }

  private void connect(InetSocketAddress address, Rest rest) throws IOException {
    SocketChannel channel = SocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
    channel.configureBlocking(false);
    channel.connect(address);
    channel.register(selector, SelectionKey.OP_CONNECT, rest);
  }

  private void send() {
    try {
      while (!closed) {
        boolean progress = selector.select(QUIET_MS) > 0;
        selector.selectedKeys().forEach(this::serve);
        selector.selectedKeys().clear();
        boolean all = openedConnections == connections && sentBytes >= settledAtBytes;
        if (!progress || all) {
          settled.complete(null);
        }
      }
    } catch (IOException e) {
      settled.completeExceptionally(new UncheckedIOException(e));
    }
  }

  private void serve(SelectionKey key) {
    SocketChannel channel = (SocketChannel) key.channel();
    Rest rest = (Rest) key.attachment();
    try {
      if (key.isConnectable()) {
        openedConnections++;
        channel.finishConnect();
      }
      sentBytes += rest.writeTo(channel);
      key.interestOps(rest.isEmpty() ? 0 : SelectionKey.OP_WRITE);
    } catch (IOException e) {
      // The other side has closed the connection or has ended, which the test finds out.
      key.cancel();
    }
  }

  /** What one connection has still to send. */
  private static final class Rest {
    /** Blocks that are sent before the other connections have their turn. */
    private static final int MAX_BLOCKS = 16;

    private final ByteBuffer beginning;
    private final ByteBuffer block;
    private long blocks;

    Rest(byte[] beginning, byte[] block, long blocks) {
      this.beginning = ByteBuffer.wrap(beginning);
      this.block = ByteBuffer.wrap(block);
      this.blocks = blocks;
    }

    boolean isEmpty() {
      return blocks == 0;
    }

    /** Writes as much as the socket takes at once, and returns its length in bytes. */
    long writeTo(SocketChannel channel) throws IOException {
      long written = channel.write(beginning);
      for (int i = 0; i < MAX_BLOCKS && blocks > 0 && !beginning.hasRemaining(); i++) {
        written += channel.write(block);
        if (block.hasRemaining()) {
          return written;
        }
        block.clear();
        blocks--;
      }
      return written;
    }
  }
}
