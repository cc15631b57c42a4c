package org.limpetdoor.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An engine that answers each call with the bytes of the next script. */
final class ScriptedEngine implements AutoCloseable {
  private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
  private static final String CANCELLATION = "DELETE ";

  /** Smaller than the requests that an engine leaves unread. */
  private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

  /** Time in which the entry reads what an engine has written, in milliseconds. */
  private static final long READ_MS = 300;

  private final ServerSocket server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final BlockingQueue<Script> scripts = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
  private volatile boolean answersEarly;

  /** Writes the answer to a call. */
  interface Script {
    void answer(Call call) throws IOException, InterruptedException;
  }

  ScriptedEngine() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    executor.execute(this::acceptConnections);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  ScriptedEngine then(Script script) {
    scripts.add(script);
    return this;
  }

  /** Leaves the bodies of requests to the scripts. */
  ScriptedEngine answersEarly() {
    answersEarly = true;
    return this;
  }

  /** Returns the heads of the calls so far. */
  BlockingQueue<String> calls() {
    return calls;
  }

  @Override
  public void close() throws IOException {
    server.close();
    executor.shutdownNow();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = server.accept();
        executor.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The engine was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
        Call call = new Call(socket, head);
        if (!answersEarly) {
          call.readBody();
        }
        if (head.startsWith(CANCELLATION)) {
          call.write("HTTP/1.1 204 No Content\r\n\r\n");
          continue;
        }
        calls.add(head);
        scripts.take().answer(call);
      }
    } catch (IOException e) {
      // The connection has ended.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0) {
      head.write(next);
      String text = head.toString(StandardCharsets.UTF_8);
      if (text.endsWith("\r\n\r\n")) {
        return text;
      }
      next = in.read();
    }
    return "";
  }

  /**
   * A call on a connection.
   *
   * @param socket the connection
   * @param head request line and headers
   */
  record Call(Socket socket, String head) {
    /** Returns the identifier of the attempt as a header line to echo. */
    String echo() {
      return header("Limpetdoor-Attempt");
    }

    /** Returns a request header as a header line. */
    String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
          return line + "\r\n";
        }
      }
      return "";
    }

    /** Reads the body of the request. */
    void readBody() throws IOException {
      Matcher length = LENGTH.matcher(head);
      socket.getInputStream().skipNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
    }

    /** Waits until the entry has read what was written. */
    void awaitReader() throws InterruptedException {
      Thread.sleep(READ_MS);
    }

    void write(String text) {
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
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
  }
}
