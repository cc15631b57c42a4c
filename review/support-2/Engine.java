import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A sound engine: it registers in the store and repeats its entry, runs requests, says in its
 * answers that it is leaving, and refuses requests for other instances. A plain service has no
 * models; with models it answers with a stream of events, and takes orders.
 */
final class Engine implements AutoCloseable {
  private static final int BEAT_MS = 1_200;
  private static final int BACKLOG = 1_024;
  private static final int CHAT_SLOTS = 96;

  /** What became of a request that the engine began to run. */
  record Run(String attempt, long beganMs, boolean[] answered) {}

  /**
   * What an engine is.
   *
   * @param models names of the models that it holds, as JSON texts with commas; empty for a plain
   *     service
   * @param workMs time to the answer, or to the first event
   * @param events events of a stream
   * @param gapMs time between events
   * @param answerBytes length of an answer that is not a stream
   */
  record Kind(
      String service, String models, int slots, int workMs, int events, int gapMs, int answerBytes) {

    /** A plain service with answers of some length. */
    static Kind plain(int slots, int workMs, int answerBytes) {
      return new Kind("ledger", "", slots, workMs, 0, 0, answerBytes);
    }

    /** A model service whose engines hold the only model. */
    static Kind chat(int workMs, int events, int gapMs) {
      String held = "{\"name\":\"" + Deployment.MODEL + "\",\"version\":1,\"adapters\":[]}";
      return new Kind("scribe", held, CHAT_SLOTS, workMs, events, gapMs, 0);
    }
  }

  private final String id;
  private final String zone;
  private final Kind kind;
  private final Store store;
  private final Lab lab;
  private final long bornMs = System.currentTimeMillis();
  private final ServerSocket server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Map<String, Run> runs = new ConcurrentHashMap<>();
  private final AtomicInteger sequence = new AtomicInteger();
  private final AtomicInteger streams = new AtomicInteger();
  private volatile boolean leaving;
  private volatile boolean registered = true;
  private volatile boolean closed;
  private volatile boolean inTrouble;
  private volatile Consumer<Run> onRun = run -> {};

  Engine(Lab lab, Store store, String id, String zone, String ip, Kind kind) throws IOException {
    this.lab = lab;
    this.store = store;
    this.id = id;
    this.zone = zone;
    this.kind = kind;
    server = new ServerSocket(0, BACKLOG, InetAddress.getByName(ip));
    beat();
    executor.execute(this::accept);
    executor.execute(this::beats);
    lab.note("engine " + id + " serves " + kind.service() + " on " + address());
  }

  String id() {
    return id;
  }

  Map<String, Run> runs() {
    return Collections.unmodifiableMap(runs);
  }

  int openStreams() {
    return streams.get();
  }

  /** Sets what is called when a run begins. */
  void onRun(Consumer<Run> listener) {
    onRun = listener;
  }

  private String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private void beat() {
    String models = kind.models().isEmpty() ? "" : kind.models();
    store.put(
        Wire.name("engineTopic"),
        id,
        ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                + "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":%d,\"born\":%d,"
                + "\"models\":[%s]}")
            .formatted(
                kind.service(), address(), zone, kind.slots(), sequence.get(), bornMs, models));
  }

  private void beats() {
    while (!closed) {
      Lab.sleepMs(BEAT_MS);
      if (registered && !closed) {
        beat();
      }
    }
  }

  /** Begins to leave without a report: the entry goes, and the engine goes on serving. */
  void leaveUnreported() {
    leaving = true;
    registered = false;
    store.put(Wire.name("engineTopic"), id, null);
    lab.note("engine " + id + " leaves; its entry is removed");
  }

  /** From now on all streams go on with bytes that never end an event. */
  void getIntoTrouble() {
    inTrouble = true;
    lab.note("engine " + id + " sends bytes without end on " + openStreams() + " open streams");
  }

  @Override
  public void close() {
    closed = true;
    try {
      server.close();
    } catch (IOException e) {
      // It is closed already.
    }
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
    executor.shutdownNow();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        executor.execute(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (!closed) {
        Http.Head head = Http.readHead(in);
        byte[] body = Http.readBody(in, head);
        answer(head, body, out);
      }
    } catch (IOException e) {
      // The connection has ended.
    } finally {
      sockets.remove(socket);
    }
  }

  private void answer(Http.Head head, byte[] body, OutputStream out) throws IOException {
    String expected = head.header("x-expected-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(out, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", "");
      return;
    }
    String path = head.word(1);
    if (path.equals("/report")) {
      write(out, "200 OK", "Content-Type: application/json\r\n", report());
      return;
    }
    if (path.equals("/order")) {
      String expectedOrders = Store.field(new String(body, StandardCharsets.UTF_8), Wire.name("expectedOrders"));
      boolean current = expectedOrders.equals(Integer.toString(sequence.get()));
      // The models of the case are all loaded, so that there is nothing to order.
      write(out, current ? "400 Bad Request" : "409 Conflict", "", "");
      return;
    }
    run(head, out);
  }

  private String report() {
    return "{\"stage\":\"prefill_decode\",\"models\":[%s],\"busy\":false,\"sequence\":%d,\"born\":%d}"
        .formatted(kind.models(), sequence.get(), bornMs);
  }

  private void run(Http.Head head, OutputStream out) throws IOException {
    String attempt = head.header("x-attempt-id");
    Run run = new Run(attempt, Lab.nowMs(), new boolean[1]);
    runs.put(attempt, run);
    onRun.accept(run);
    Lab.sleepMs(kind.workMs());
    String headers =
        "X-Attempt-Id: " + attempt + "\r\nX-Server-Signature: " + id + "." + attempt + "\r\n"
            + (leaving ? "Server-Leaving: 1\r\n" : "");
    if (kind.models().isEmpty()) {
      String body = "done " + attempt + " ";
      write(out, "200 OK", headers, body + "y".repeat(Math.max(0, kind.answerBytes() - body.length())));
    } else {
      stream(headers, out);
    }
    run.answered()[0] = true;
  }

  private void stream(String headers, OutputStream out) throws IOException {
    streams.incrementAndGet();
    try {
      out.write(
          ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + headers
                  + "Transfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      for (int i = 1; i <= kind.events(); i++) {
        if (inTrouble) {
          sendWithoutEnd(out);
        }
        chunk(out, "id: " + i + "\ndata: " + "x".repeat(50) + "\n\n");
        Lab.sleepMs(kind.gapMs());
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    } finally {
      streams.decrementAndGet();
    }
  }

  /** Sends bytes that end no event until the other side closes the connection. */
  private void sendWithoutEnd(OutputStream out) throws IOException {
    String part = "z".repeat(8 << 10);
    while (!closed) {
      chunk(out, part);
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    String size = Integer.toHexString(text.length());
    out.write((size + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void write(OutputStream out, String status, String headers, String body)
      throws IOException {
    out.write(
        ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
