import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An engine begins an answer without a length before it has read a long request, and crashes. The
 * reset must not look like the end of the answer.
 */
public final class CutEarlyAnswer {
  private static final int ROUNDS = 5;
  private static final int ENGINES = 4;
  private static final long DOWN_MS = 2_000;
  private static final int ANSWER_BYTES = 800;

  /** Below {@code maxBodyBytes}, and more than the buffers of two sockets hold. */
  private static final int REQUEST_BYTES = 4_000_000;

  private static final long CRASH_AFTER_MS = 150;
  private static final int TIME_LIMIT_MS = 2_500;

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":[{\"name\":\"r-orders\",\"host\":\"shop.example\","
          + "\"pathPrefix\":\"/orders/\",\"kind\":\"non_idempotent\",\"timeoutMs\":2500,"
          + "\"targetLatencyMs\":193,\"priority\":0,\"service\":\"ledger\",\"maxAttempts\":1}],"
          + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":96,"
          + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
          + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

  private CutEarlyAnswer() {}

  /** Argument: path of the record. */
  public static void main(String[] args) throws Exception {
    Lab.run(args[0], CutEarlyAnswer::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.startStore(CONFIGURATION);
    Map<String, Process> engines = new HashMap<>();
    for (int i = 1; i <= ENGINES; i++) {
      engines.put("i-" + i, startEngine(lab, "i-" + i));
    }
    Lab.Gateway gateway = lab.startGateway("gw-1");
    // The gateway reads the list of engines once a second.
    Thread.sleep(2_500);
    int broken = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      String attempt = "attempt" + round;
      Http.Response response = send(lab, gateway, engines, attempt);
      lab.record.line("client got for " + attempt + ": " + response.describe());
      boolean success = response.head() != null && response.head().status() / 100 == 2;
      boolean whole = Arrays.equals(response.body(), Engine.content(attempt, ANSWER_BYTES));
      if (success && response.complete() && !whole) {
        lab.record.line("MIXED: a success that looks complete, without the whole body");
        broken++;
      }
      Thread.sleep(DOWN_MS);
      for (String id : List.copyOf(engines.keySet())) {
        if (!engines.get(id).isAlive()) {
          engines.remove(id);
          engines.put(id + "x", startEngine(lab, id + "x"));
        }
      }
      Thread.sleep(2_500);
    }
    lab.record.line("rounds " + ROUNDS + ", broken " + broken);
    return broken > 0 ? Lab.RULE_BROKEN : Lab.RULE_HELD;
  }

  private static Process startEngine(Lab lab, String id) throws IOException {
    return lab.startEngine(id, "ledger", Engine.Mode.EARLY, ANSWER_BYTES, "-");
  }

  /** Returns the identifier of the engine that has begun to answer a request. */
  private static Optional<String> runningOn(Lab lab, String attempt) throws IOException {
    Pattern line = Pattern.compile("engine (\\S+): runs " + attempt + ",");
    Matcher matcher = line.matcher(Files.readString(Path.of(lab.recordPath)));
    return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  private static Http.Response send(
      Lab lab, Lab.Gateway gateway, Map<String, Process> engines, String attempt)
      throws Exception {
    byte[] body = new byte[REQUEST_BYTES];
    Arrays.fill(body, (byte) 'x');
    try (Socket socket = Http.connect(gateway.callers(), TIME_LIMIT_MS + 2_000)) {
      lab.record.line("client sends " + attempt + " with " + body.length + "B");
      Http.write(
          socket.getOutputStream(),
          "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
              + "\r\nX-Deadline-Ms: " + TIME_LIMIT_MS + "\r\nContent-Length: " + body.length
              + "\r\n\r\n",
          body);
      if (lab.trouble) {
        Lab.await(() -> runningOn(lab, attempt).isPresent(), "the answer");
        Thread.sleep(CRASH_AFTER_MS);
        String id = runningOn(lab, attempt).orElseThrow();
        lab.record.line("kills engine " + id);
        engines.get(id).destroyForcibly();
      }
      return Http.readResponse(new BufferedInputStream(socket.getInputStream()));
    }
  }
}
