package org.limpetdoor.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An engine whose bytes the test thread writes itself, so that their order is fixed. */
final class ControlledEngine implements AutoCloseable {
  private static final int TIMEOUT_MS = 20_000;

  /** Smaller than the requests that an engine leaves unread. */
  private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

  private final ServerSocket server;
  private final List<Connection> connections = new ArrayList<>();

  ControlledEngine() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    server.setSoTimeout(TIMEOUT_MS);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Waits for the next new connection. */
  Connection accept() throws IOException {
    Connection connection = new Connection(server.accept());
    connections.add(connection);
    return connection;
  }

  @Override
  public void close() throws IOException {
    for (Connection connection : connections) {
      connection.close();
    }
    server.close();
  }

  /** A connection of the gateway. */
  static final class Connection implements AutoCloseable {
    private final Socket socket;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MS);
      socket.setTcpNoDelay(true);
    }

    /** Waits for the head of the next request and returns it; a body is left unread. */
    String readRequest() throws IOException {
      InputStream in = socket.getInputStream();
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("connection ended after: " + head);
        }
        head.write(next);
      }
      return head.toString(StandardCharsets.UTF_8);
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
    }

    /** Reads a part of a request body. */
    void readBody(int lengthBytes) throws IOException {
      socket.getInputStream().skipNBytes(lengthBytes);
    }

    /** Waits until the gateway closes the connection or sends a byte, which is returned. */
    int readByte() throws IOException {
      return socket.getInputStream().read();
    }

    /** Ends the connection with FIN. */
    void finish() throws IOException {
      socket.shutdownOutput();
    }

    /** Ends the connection with RST. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
