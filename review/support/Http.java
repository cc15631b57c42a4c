import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 over blocking sockets. */
final class Http {
  private Http() {}

  /** Start line and headers of a message; header names are in lower case. */
  record Head(String startLine, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    boolean chunked() {
      return header("transfer-encoding").equalsIgnoreCase("chunked");
    }

    int contentLength() {
      return Integer.parseInt(headers.getOrDefault("content-length", "0"));
    }
  }

  /**
   * A response as its receiver sees it.
   *
   * @param head status line and headers, or null if the connection ended before their end
   * @param body bytes of the body that arrived
   * @param complete whether the framing of the response says that the body is whole
   */
  record Response(Head head, byte[] body, boolean complete) {
    String describe() {
      return head == null
          ? "no answer, connection closed"
          : head.status() + " body=" + body.length + "B complete=" + complete;
    }
  }

  /** Reads a head; returns null at the end of the connection. */
  static Head readHead(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        return null;
      }
      if (line.isEmpty()) {
        return new Head(startLine, headers);
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      if (b == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(b);
    }
  }

  /** Reads the body of a request. */
  static byte[] readRequestBody(InputStream in, Head head) throws IOException {
    if (!head.chunked()) {
      byte[] body = in.readNBytes(head.contentLength());
      if (body.length < head.contentLength()) {
        throw new EOFException();
      }
      return body;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (!readChunks(in, body)) {
      throw new EOFException();
    }
    return body.toByteArray();
  }

  /** Reads a response up to its end, or up to the end of the connection. */
  static Response readResponse(InputStream in) {
    Head head = null;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      head = readHead(in);
      if (head == null) {
        return new Response(null, new byte[0], false);
      }
      if (head.chunked()) {
        boolean complete = readChunks(in, body);
        return new Response(head, body.toByteArray(), complete);
      }
      if (!head.headers().containsKey("content-length")) {
        in.transferTo(body);
        return new Response(head, body.toByteArray(), true);
      }
      byte[] buffer = new byte[8192];
      while (body.size() < head.contentLength()) {
        int count = in.read(buffer, 0, Math.min(buffer.length, head.contentLength() - body.size()));
        if (count < 0) {
          return new Response(head, body.toByteArray(), false);
        }
        body.write(buffer, 0, count);
      }
      return new Response(head, body.toByteArray(), true);
    } catch (IOException e) {
      return new Response(head, body.toByteArray(), false);
    }
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null) {
        return false;
      }
      int length = Integer.parseInt(size.trim(), 16);
      byte[] chunk = in.readNBytes(length);
      body.write(chunk);
      if (chunk.length < length || readLine(in) == null) {
        return false;
      }
      if (length == 0) {
        return true;
      }
    }
  }

  static void write(OutputStream out, String head, byte[] body) throws IOException {
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  /** Sends one request on a new connection. */
  static Response call(String address, String head, byte[] body, int timeoutMs) {
    try (Socket socket = connect(address, timeoutMs)) {
      write(socket.getOutputStream(), head, body);
      return readResponse(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return new Response(null, new byte[0], false);
    }
  }

  static Socket connect(String address, int timeoutMs) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(socketAddress(address), timeoutMs);
    socket.setSoTimeout(timeoutMs);
    return socket;
  }

  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
