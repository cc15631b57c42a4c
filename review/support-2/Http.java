import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over sockets, as far as the stand-ins need it. */
final class Http {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private Http() {}

  /** A start line with headers, whose names are in lower case. */
  record Head(String line, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String word(int index) {
      String[] words = line.split(" ");
      return index < words.length ? words[index] : "";
    }
  }

  /** A complete response. */
  record Response(int status, Head head, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** A connection of a client. */
  static final class Connection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    private Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** Reads one response; fails if the connection ends before it is complete. */
    Response readResponse(int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs);
      Head head = readHead(in);
      byte[] body = readBody(in, head);
      return new Response(Integer.parseInt(head.word(1)), head, body);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static Connection connect(String address, int port) throws IOException {
    return connect(null, address, port);
  }

  /** Connects from a given loopback address, or from any if it is null. */
  static Connection connect(String from, String address, int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    if (from != null) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
    }
    try {
      socket.connect(new InetSocketAddress(address, port), CONNECT_TIMEOUT_MS);
      return new Connection(socket);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Reads a head; fails at the end of the input. */
  static Head readHead(InputStream in) throws IOException {
    List<String> lines = new ArrayList<>();
    for (String line = readLine(in); !line.isEmpty() || lines.isEmpty(); line = readLine(in)) {
      if (!line.isEmpty()) {
        lines.add(line);
      }
    }
    Map<String, String> headers = new HashMap<>();
    for (String line : lines.subList(1, lines.size())) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    return new Head(lines.get(0), headers);
  }

  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (int length = chunkLength(in); length > 0; length = chunkLength(in)) {
        body.write(readFully(in, length));
        readLine(in);
      }
      readLine(in);
      return body.toByteArray();
    }
    String length = head.header("content-length");
    return length.isEmpty() ? new byte[0] : readFully(in, Integer.parseInt(length));
  }

  private static int chunkLength(InputStream in) throws IOException {
    return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("end of input");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("end of input");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }
}
