package org.limpetdoor.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
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

  private final ServerSocket server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final BlockingQueue<Script> scripts = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

  /** Writes the answer to a call. */
  interface Script {
    void answer(Call call) throws IOException;
  }

  ScriptedEngine() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    executor.execute(this::acceptConnections);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  ScriptedEngine then(Script script) {
    scripts.add(script);
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
        Matcher length = LENGTH.matcher(head);
        in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        if (head.startsWith(CANCELLATION)) {
          new Call(socket, head).write("HTTP/1.1 204 No Content\r\n\r\n");
          continue;
        }
        calls.add(head);
        scripts.take().answer(new Call(socket, head));
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
