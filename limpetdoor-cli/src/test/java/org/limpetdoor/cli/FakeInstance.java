package org.limpetdoor.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server on loopback that returns scripted responses of the operator interface. */
final class FakeInstance implements AutoCloseable {
  private final HttpServer server;
  private final Map<String, Response> responses = new ConcurrentHashMap<>();
  private final List<String> calls = new CopyOnWriteArrayList<>();

  private record Response(int status, String body) {}

  FakeInstance() {
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    server.createContext("/", this::respond);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns the method and path of each call so far. */
  List<String> calls() {
    return calls;
  }

  FakeInstance withResponse(String path, int status, String body) {
    responses.put(path, new Response(status, body));
    return this;
  }

  FakeInstance withVersion(long version) {
    return withResponse(
        "/status", 200, "{\"instance\":\"entry-1\",\"configurationVersion\":" + version + "}");
  }

  /** Sends the scripted response, or closes the connection if the path has none. */
  private void respond(HttpExchange exchange) throws IOException {
    try (exchange) {
      String path = exchange.getRequestURI().getRawPath();
      calls.add(exchange.getRequestMethod() + " " + path);
      Response response = responses.get(path);
      if (response == null) {
        return;
      }
      byte[] body = response.body().getBytes(UTF_8);
      exchange.sendResponseHeaders(response.status(), body.length);
      exchange.getResponseBody().write(body);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
