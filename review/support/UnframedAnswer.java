import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Half of the engines send a few of their answers without a length; such an answer is whole. */
public final class UnframedAnswer {
  private static final int CLIENTS = 8;
  private static final long RUN_MS = 10_000;
  private static final long PAUSE_MS = 60;
  private static final int ANSWER_BYTES = 100_000;
  private static final int TIME_LIMIT_MS = 2_500;

  /** Requests that a machine may lose in this way. */
  private static final int MAX_LOST = 3;

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":[{\"name\":\"r-orders\",\"host\":\"shop.example\","
          + "\"pathPrefix\":\"/orders/\",\"kind\":\"non_idempotent\",\"timeoutMs\":2500,"
          + "\"targetLatencyMs\":193,\"priority\":0,\"service\":\"ledger\",\"maxAttempts\":1}],"
          + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":96,"
          + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
          + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

  private UnframedAnswer() {}

  /** Argument: path of the record. */
  public static void main(String[] args) throws Exception {
    Lab.run(args[0], UnframedAnswer::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.startStore(CONFIGURATION);
    for (int i = 1; i <= 4; i++) {
      boolean unframed = lab.trouble && i <= 2;
      lab.startEngine(
          "i-" + i, "ledger", unframed ? Engine.Mode.UNFRAMED : Engine.Mode.PLAIN, ANSWER_BYTES,
          "-");
    }
    Lab.Gateway gateway = lab.startGateway("gw-1");
    // The machine is in touch from contactTimeoutMs after its start on.
    Thread.sleep(Lab.CONTACT_TIMEOUT_MS + 500);
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 1; i <= CLIENTS; i++) {
      String client = "c" + i;
      Thread thread = new Thread(() -> order(lab, gateway, client, answered, lost));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    lab.record.line("orders answered " + answered + ", run by an engine and not answered " + lost);
    if (lost.get() > MAX_LOST) {
      lab.record.line("LOST: more than " + MAX_LOST + " channels closed without an answer");
      return Lab.RULE_BROKEN;
    }
    return Lab.RULE_HELD;
  }

  private static void order(
      Lab lab, Lab.Gateway gateway, String client, AtomicInteger answered, AtomicInteger lost) {
    long untilMs = Lab.nowMs() + RUN_MS;
    int number = 0;
    while (Lab.nowMs() < untilMs) {
      try (Socket socket = Http.connect(gateway.callers(), TIME_LIMIT_MS + 1_000)) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open && Lab.nowMs() < untilMs) {
          String attempt = client + "-" + ++number;
          Http.write(
              socket.getOutputStream(),
              "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                  + "\r\nX-Deadline-Ms: " + TIME_LIMIT_MS + "\r\nContent-Length: 5\r\n\r\n",
              "order".getBytes());
          Http.Response response = Http.readResponse(in);
          open = response.complete();
          if (open) {
            answered.incrementAndGet();
          } else {
            lab.record.line("client got for " + attempt + ": " + response.describe());
            boolean ran = lab.engineHasAnswered(attempt);
            lost.addAndGet(ran && response.head() == null ? 1 : 0);
          }
          Thread.sleep(PAUSE_MS);
        }
      } catch (IOException e) {
        lab.record.line("client " + client + ": " + e.getMessage());
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
