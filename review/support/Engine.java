import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/** Stand-in of an engine. It writes its entry to the store and serves one request a connection. */
public final class Engine {
  private static final long HEARTBEAT_INTERVAL_MS = 1_200;

  /** Time that the engine takes to load a model from its disk, in milliseconds. */
  private static final long LOAD_MS = 500;

  /** Time from the start of an early answer until the engine reads the rest of the request. */
  private static final long READ_ON_AFTER_MS = 400;

  private static final long WORK_MS = 40;

  /** One of so many answers has no length, while the engine sends such answers. */
  private static final int UNFRAMED_INTERVAL = 20;

  /** Time from its first answer on in which an engine sends such answers, in milliseconds. */
  private static final long UNFRAMED_MS = 5_000;

  private static final int STREAM_EVENTS = 8;
  private static final String DEADLY_PART = "dead0001";

  /** How an engine answers. */
  enum Mode {
    /** Answers with a length, after it has read the request. */
    PLAIN,
    /** Answers like {@link #PLAIN}, but a few answers have no length and end with their channel. */
    UNFRAMED,
    /** Begins an answer without a length before it has read the body, and reads on later. */
    EARLY,
    /** Streams events; crashes once it has written the first event on a deadly prompt part. */
    STREAM,
    /** Answers with a length; a deadly request takes the machine down, which is silent from then on. */
    DARK
  }

  private final String id;
  private final String address;
  private final String service;
  private final String store;
  private final Mode mode;
  private final int answerBytes;
  private final List<String> models = new ArrayList<>();
  private final long bornMs = System.currentTimeMillis();
  private final Record record;
  private int answers;
  private long unframedUntilMs;
  private long ordersAccepted;
  private long highestFence;
  private boolean busy;
  private volatile boolean dark;
  private ServerSocket server;

  private Engine(String[] args) {
    id = args[0];
    address = args[1];
    service = args[2];
    store = args[3];
    mode = Mode.valueOf(args[4].toUpperCase(Locale.ROOT));
    answerBytes = Integer.parseInt(args[5]);
    models.addAll(args[6].equals("-") ? List.of() : List.of(args[6].split(",")));
    record = new Record(args[7], "engine " + id);
  }

  /** Arguments: id, address, service, store, mode, bytes of an answer, models or -, record. */
  public static void main(String[] args) throws IOException {
    Engine engine = new Engine(args);
    engine.server = new ServerSocket();
    engine.server.bind(Http.socketAddress(engine.address), 200);
    Thread heartbeat = new Thread(engine::sendHeartbeats);
    heartbeat.setDaemon(true);
    heartbeat.start();
    while (true) {
      Socket socket = engine.server.accept();
      new Thread(() -> engine.serve(socket)).start();
    }
  }

  private void sendHeartbeats() {
    while (!dark) {
      try {
        publish();
        Thread.sleep(HEARTBEAT_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void publish() {
    byte[] entry =
        ("{\"service\":\"" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\","
                + "\"coldRemainingMs\":0,\"available\":{\"resident\":[],\"onDisk\":[\"m0\"]},"
                + describe() + "}")
            .getBytes(StandardCharsets.UTF_8);
    Http.call(
        store,
        "POST /put?topic=" + Wire.ENGINE_TOPIC + "&key=" + id + " HTTP/1.1\r\nContent-Length: " + entry.length
            + "\r\n\r\n",
        entry,
        2_000);
  }

  private synchronized String describe() {
    StringBuilder held = new StringBuilder();
    for (String model : models) {
      held.append(held.isEmpty() ? "" : ",")
          .append("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
    }
    return "\"stage\":\"prefill_decode\",\"models\":[" + held + "],\"sequence\":" + ordersAccepted
        + ",\"born\":" + bornMs;
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        if (dark) {
          Thread.sleep(Long.MAX_VALUE);
        }
        String expected = head.header("x-expected-instance");
        boolean early = mode == Mode.EARLY && head.method().equals("POST")
            && !head.target().equals("/order");
        byte[] body = early ? new byte[0] : Http.readRequestBody(in, head);
        if (!expected.isEmpty() && !expected.equals(id)) {
          reply(out, 421, "X-Instance-Id: " + id + "\r\n", "");
        } else if (head.target().equals("/report")) {
          reply(out, 200, "", "{" + describe() + ",\"busy\":" + busy
              + ",\"queuedRequests\":0,\"activeRequests\":0,\"kvCacheUsed\":0,"
              + "\"kvCacheTotal\":158749,\"servedModels\":1,\"pending\":[]}");
        } else if (head.target().equals("/order")) {
          reply(out, order(new String(body, StandardCharsets.UTF_8)), "", "{}");
        } else if (early) {
          answerEarly(in, out, head);
          return;
        } else if (mode == Mode.STREAM) {
          stream(out, head);
        } else if (mode == Mode.UNFRAMED && isUnframed()) {
          answerUnframed(out, head);
          socket.shutdownOutput();
          in.transferTo(OutputStream.nullOutputStream());
          return;
        } else {
          answer(out, head);
        }
      }
    } catch (IOException | InterruptedException e) {
      record.line("connection ended: " + e);
    }
  }

  private void answer(OutputStream out, Http.Head head) throws IOException, InterruptedException {
    String attempt = head.header("x-attempt-id");
    boolean deadly = mode == Mode.DARK && head.target().contains(DEADLY_PART);
    record.line("runs " + attempt + (deadly ? ", the deadly request" : ""));
    Thread.sleep(WORK_MS);
    if (deadly) {
      record.line("crashes on " + attempt);
      dark = true;
    }
    if (dark) {
      Thread.sleep(Long.MAX_VALUE);
    }
    byte[] body = content(head.header("x-attempt-id"), answerBytes);
    Http.write(out, signedHead(head, body) + "Content-Length: " + body.length + "\r\n\r\n", body);
    record.line("has answered " + head.header("x-attempt-id") + " with " + body.length + "B");
  }

  private synchronized boolean isUnframed() {
    long nowMs = System.nanoTime() / 1_000_000;
    unframedUntilMs = answers == 0 ? nowMs + UNFRAMED_MS : unframedUntilMs;
    return ++answers % UNFRAMED_INTERVAL == 0 && nowMs < unframedUntilMs;
  }

  private void answerUnframed(OutputStream out, Http.Head head)
      throws IOException, InterruptedException {
    String attempt = head.header("x-attempt-id");
    record.line("runs " + attempt + ", answers without a length");
    Thread.sleep(WORK_MS);
    byte[] body = content(attempt, answerBytes);
    Http.write(out, signedHead(head, body) + "\r\n", body);
    record.line("has answered " + attempt + " with " + body.length + "B");
  }

  private void answerEarly(InputStream in, OutputStream out, Http.Head head)
      throws IOException, InterruptedException {
    String attempt = head.header("x-attempt-id");
    byte[] body = content(attempt, answerBytes);
    int half = body.length / 2;
    Http.write(out, signedHead(head, body) + "\r\n", Arrays.copyOf(body, half));
    record.line("runs " + attempt + ", has sent " + half + "B of " + body.length);
    Thread.sleep(READ_ON_AFTER_MS);
    Http.readRequestBody(in, head);
    out.write(body, half, body.length - half);
    out.flush();
    record.line("has answered " + attempt + " with " + body.length + "B");
  }

  private void stream(OutputStream out, Http.Head head) throws IOException, InterruptedException {
    String attempt = head.header("x-attempt-id");
    synchronized (this) {
      if (!models.contains(head.header("x-model"))) {
        reply(out, 421, "X-Instance-Id: " + id + "\r\n", "");
        return;
      }
    }
    boolean deadly = head.header("x-prompt-prefix").contains(DEADLY_PART);
    record.line("runs " + attempt + (deadly ? " with the deadly part" : ""));
    Thread.sleep(WORK_MS);
    out.write(
        (signedHead(head, new byte[0])
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    for (int number = 1; number <= STREAM_EVENTS; number++) {
      String event = "id: " + number + "\ndata: token\n\n";
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
          .getBytes(StandardCharsets.US_ASCII));
      out.flush();
      if (deadly) {
        Thread.sleep(20);
        record.line("crashes on " + attempt);
        Runtime.getRuntime().halt(3);
      }
      Thread.sleep(20);
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** Carries out an order to load or unload a model, and returns the status of the answer. */
  private synchronized int order(String body) {
    long fence = Long.parseLong(field(body, Wire.FENCE));
    String model = field(body, "model");
    boolean load = field(body, "operation").equals("loading");
    if (fence < highestFence) {
      return 412;
    }
    highestFence = fence;
    if (busy || Long.parseLong(field(body, Wire.EXPECTED_ORDERS)) != ordersAccepted) {
      return 409;
    }
    if (models.contains(model) == load) {
      return 200;
    }
    ordersAccepted++;
    busy = true;
    new Thread(() -> carryOut(model, load)).start();
    return 202;
  }

  private void carryOut(String model, boolean load) {
    try {
      Thread.sleep(LOAD_MS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      busy = false;
      if (load) {
        models.add(model);
      } else {
        models.remove(model);
      }
    }
    publish();
  }

  /** Returns the body of the answer to a request. */
  static byte[] content(String attempt, int bytes) {
    byte[] body = new byte[bytes];
    for (int i = 0; i < bytes; i++) {
      body[i] = (byte) ('a' + (i / 7 + attempt.hashCode() % 5 + 5) % 26);
    }
    return body;
  }

  private static String signedHead(Http.Head head, byte[] body) {
    CRC32 sum = new CRC32();
    sum.update(body);
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.header("x-attempt-id")
        + "\r\nX-Server-Signature: " + body.length + "." + sum.getValue() + "\r\n";
  }

  private static void reply(OutputStream out, int status, String headers, String body)
      throws IOException {
    Http.write(
        out,
        "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n",
        body.getBytes(StandardCharsets.US_ASCII));
  }

  private static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
    return matcher.find() ? matcher.group(1) : "0";
  }
}
