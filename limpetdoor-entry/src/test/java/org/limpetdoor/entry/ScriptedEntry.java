package org.limpetdoor.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import org.limpetdoor.entry.ScriptedEngine.Call;

/** An entry server with two scripted engines, and the bytes that they send. */
final class ScriptedEntry implements AutoCloseable {
  static final String CHAT = "/v1/chat/completions";
  static final String SERVICE = "/services/orders/lots";
  static final String STREAM = streamOf("hi");
  static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";
  static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  static final String LAST_CHUNK = "0\r\n\r\n";
  static final String DONE = "data: [DONE]\n\n";

  private final HttpClient http = HttpClient.newHttpClient();
  private final ScriptedEngine first = new ScriptedEngine();
  private final ScriptedEngine second = new ScriptedEngine();
  private final EntryServer server;

  ScriptedEntry() throws IOException, InterruptedException {
    FixedLog log = new FixedLog(Fixtures.configuration(first.address(), second.address()));
    server = EntryServer.start(Fixtures.settings(), log);
    log.awaitSubmitted();
  }

  /** Returns the engine that is preferred and also serves the plain service. */
  ScriptedEngine first() {
    return first;
  }

  ScriptedEngine second() {
    return second;
  }

  HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + server.callerAddress() + path))
            .version(HttpClient.Version.HTTP_1_1)
            .header("Authorization", "Bearer " + Fixtures.KEY)
            .header("Content-Type", "application/json")
            .POST(BodyPublishers.ofString(body))
            .build();
    return http.send(request, BodyHandlers.ofString());
  }

  /** Returns a streamed chat request with a message of the user. */
  static String streamOf(String text) {
    return "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\""
        + text
        + "\"}],\"stream\":true}";
  }

  static String refusal(String echo) {
    return "HTTP/1.1 503 Refused\r\nLimpetdoor-Not-Started: true\r\n"
        + echo
        + "Content-Length: 0\r\n\r\n";
  }

  static String answer(Call call, String body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        + call.echo()
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  static String streamHead(Call call) {
    return "HTTP/1.1 200 OK\r\n"
        + EVENT_STREAM
        + call.echo()
        + call.header("Limpetdoor-Resume-At")
        + CHUNKED;
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static String token(String text) {
    return "data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
  }

  @Override
  public void close() throws IOException {
    first.close();
    second.close();
    server.close();
  }
}
