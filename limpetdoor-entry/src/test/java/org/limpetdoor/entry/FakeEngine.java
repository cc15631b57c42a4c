package org.limpetdoor.entry;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;

/** An engine that streams a fixed response, starting at the requested resume token. */
final class FakeEngine implements AutoCloseable {
  static final List<String> TOKENS = List.of("zero", "one", "two", "three", "four", "five");
  private static final int NEVER = Integer.MAX_VALUE;

  /** Content length above the length of any response, so that closing breaks the connection. */
  private static final long UNREACHED_BYTES = 1 << 20;

  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
  private volatile List<String> tokens = TOKENS;
  private volatile int breakAtToken = NEVER;
  private volatile int refuseStatus;
  private volatile boolean notStarted;
  private volatile String lastContentType;
  private volatile CountDownLatch holdAfterFirst = new CountDownLatch(0);

  FakeEngine() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/v1/chat/completions", this::chat);
    server.createContext("/v1/attempts/", this::cancel);
    server.createContext("/", this::echo);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void breakAt(int token) {
    breakAtToken = token;
  }

  void respondWith(List<String> newTokens) {
    tokens = newTokens;
  }

  void refuseWith(int status, boolean reportsNotStarted) {
    refuseStatus = status;
    notStarted = reportsNotStarted;
  }

  void holdAfterFirstToken(CountDownLatch release) {
    holdAfterFirst = release;
  }

  /** Returns the content type of the last echoed call. */
  String lastContentType() {
    return lastContentType;
  }

  /** Waits for the next cancellation and returns its path. */
  String takeCancelled() throws InterruptedException {
    return cancelled.take();
  }

  @Override
  public void close() {
    holdAfterFirst.countDown();
    server.stop(0);
    executor.shutdownNow();
  }

  private void chat(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    echo(exchange, "Limpetdoor-Attempt");
    echo(exchange, "Limpetdoor-Resume-At");
    if (refuseStatus > 0) {
      refuse(exchange);
    } else if (body.contains("\"stream\":true")) {
      stream(exchange);
    } else {
      respond(exchange, "{\"choices\":[],\"usage\":{\"completion_tokens\":6}}");
    }
  }

  private static void echo(HttpExchange exchange, String header) {
    exchange.getResponseHeaders().set(header, exchange.getRequestHeaders().getFirst(header));
  }

  private void refuse(HttpExchange exchange) throws IOException {
    awaitRelease();
    if (notStarted) {
      exchange.getResponseHeaders().set("Limpetdoor-Not-Started", "true");
    }
    exchange.sendResponseHeaders(refuseStatus, -1);
    exchange.close();
  }

  private void stream(HttpExchange exchange) throws IOException {
    List<String> response = tokens;
    int from = Integer.parseInt(exchange.getRequestHeaders().getFirst("Limpetdoor-Resume-At"));
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.getResponseHeaders().set("Limpetdoor-Load", "running=3;queued=1");
    exchange.sendResponseHeaders(200, breakAtToken == NEVER ? 0 : UNREACHED_BYTES);
    OutputStream out = exchange.getResponseBody();
    writeEvent(out, "{\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}");
    for (int i = from; i < response.size() && i < breakAtToken; i++) {
      writeEvent(out, "{\"choices\":[{\"delta\":{\"content\":\"" + response.get(i) + "\"}}]}");
      awaitRelease();
    }
    if (breakAtToken == NEVER) {
      writeEvent(out, "[DONE]");
    }
    exchange.close();
  }

  private void awaitRelease() throws IOException {
    try {
      holdAfterFirst.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void cancel(HttpExchange exchange) throws IOException {
    cancelled.add(exchange.getRequestURI().getPath());
    exchange.sendResponseHeaders(204, -1);
    exchange.close();
  }

  private void echo(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    lastContentType = exchange.getRequestHeaders().getFirst("Content-Type");
    exchange.getResponseHeaders().set("Echo", exchange.getRequestMethod());
    respond(exchange, exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body);
  }

  private static void respond(HttpExchange exchange, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    boolean head = exchange.getRequestMethod().equals("HEAD");
    exchange.sendResponseHeaders(200, head ? -1 : bytes.length);
    if (!head) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  private static void writeEvent(OutputStream out, String data) throws IOException {
    out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
