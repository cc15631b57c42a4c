import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients send long requests at the same time, each within the limit on bodies, while others
 * send short orders on kept channels.
 */
public final class LargeUploads {
  private static final int UPLOADERS = 60;
  private static final int UPLOAD_BYTES = 4_000_000;
  private static final long UPLOAD_MS = 4_000;
  private static final int UPLOAD_STEPS = 100;
  private static final int UPLOAD_TIME_LIMIT_MS = 12_000;
  private static final int ORDERING_CLIENTS = 20;
  private static final long ORDER_INTERVAL_MS = 100;
  private static final int ORDER_BYTES = 600;
  private static final int ORDER_TIMEOUT_MS = 2_500;
  private static final long RUN_MS = 20_000;

  /** Time after the timeout of the route within which the answer is due, in milliseconds. */
  private static final int ANSWER_SLACK_MS = 500;

  /** Number of late requests from which the rule counts. */
  private static final int MIN_LATE_REQUESTS = 8;

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":["
          + "{\"name\":\"r-orders\",\"host\":\"shop.example\",\"pathPrefix\":\"/orders/\","
          + "\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"targetLatencyMs\":193,"
          + "\"priority\":0,\"service\":\"ledger\",\"maxAttempts\":1},"
          + "{\"name\":\"r-files\",\"host\":\"shop.example\",\"pathPrefix\":\"/files/\","
          + "\"kind\":\"non_idempotent\",\"timeoutMs\":12000,\"targetLatencyMs\":2500,"
          + "\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":1}],"
          + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":96,"
          + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
          + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

  private final Lab lab;
  private final Lab.Gateway gateway;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();

  private LargeUploads(Lab lab, Lab.Gateway gateway) {
    this.lab = lab;
    this.gateway = gateway;
  }

  /** Argument: path of the record. */
  public static void main(String[] args) throws Exception {
    Lab.run(args[0], LargeUploads::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.startStore(CONFIGURATION);
    for (int i = 1; i <= 3; i++) {
      lab.startEngine("i-" + i, "ledger", Engine.Mode.PLAIN, 800, "-");
    }
    Lab.Gateway gateway = lab.startGateway("gw-1");
    // The machine is in touch from contactTimeoutMs after its start on.
    Thread.sleep(Lab.CONTACT_TIMEOUT_MS + 1_000);
    LargeUploads uploads = new LargeUploads(lab, gateway);
    List<Thread> threads = new ArrayList<>();
    for (int i = 1; i <= ORDERING_CLIENTS; i++) {
      String client = "c" + i;
      threads.add(new Thread(() -> uploads.order(client)));
    }
    for (int i = 1; lab.trouble && i <= UPLOADERS; i++) {
      String attempt = "upload" + i;
      threads.add(new Thread(() -> uploads.upload(attempt)));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    return uploads.judge();
  }

  private int judge() {
    int late = unansweredAtTimeout.get();
    int later = unansweredLater.get();
    lab.record.line("orders answered in time " + answered + ", unanswered at their route's timeout "
        + late + ", of these without an answer " + ANSWER_SLACK_MS + " ms later " + later);
    if (late >= MIN_LATE_REQUESTS && 2 * later > late) {
      lab.record.line("CONFIG: more than half have no answer half a second after the timeout");
      return Lab.RULE_BROKEN;
    }
    return Lab.RULE_HELD;
  }

  /** Sends orders on a kept channel, one after the other. */
  private void order(String client) {
    long untilMs = Lab.nowMs() + RUN_MS;
    int number = 0;
    while (Lab.nowMs() < untilMs) {
      try (Socket socket = Http.connect(gateway.callers(), 1_000)) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open && Lab.nowMs() < untilMs) {
          open = orderOnce(socket, in, client + "-" + ++number);
          Thread.sleep(ORDER_INTERVAL_MS);
        }
      } catch (IOException e) {
        lab.record.line("client " + client + " got no channel: " + e.getMessage());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean orderOnce(Socket socket, InputStream in, String attempt) throws IOException {
    byte[] body = new byte[ORDER_BYTES];
    long sentMs = Lab.nowMs();
    Http.write(
        socket.getOutputStream(),
        "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: " + (ORDER_TIMEOUT_MS + 2 * ANSWER_SLACK_MS)
            + "\r\nContent-Length: " + body.length + "\r\n\r\n",
        body);
    socket.setSoTimeout(ORDER_TIMEOUT_MS + ANSWER_SLACK_MS);
    Http.Response response = Http.readResponse(in);
    long tookMs = Lab.nowMs() - sentMs;
    boolean complete = response.head() != null && response.complete();
    if (complete && tookMs <= ORDER_TIMEOUT_MS) {
      answered.incrementAndGet();
      return !response.head().header("connection").equals("close");
    }
    lab.record.line("client got for " + attempt + " after " + tookMs + " ms: "
        + response.describe());
    if (tookMs > ORDER_TIMEOUT_MS) {
      unansweredAtTimeout.incrementAndGet();
      unansweredLater.addAndGet(complete ? 0 : 1);
    }
    return false;
  }

  private void upload(String attempt) {
    byte[] step = new byte[UPLOAD_BYTES / UPLOAD_STEPS];
    Http.Response response = new Http.Response(null, new byte[0], false);
    try (Socket socket = Http.connect(gateway.callers(), UPLOAD_TIME_LIMIT_MS)) {
      OutputStream out = socket.getOutputStream();
      Http.write(
          out,
          "POST /files/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
              + "\r\nX-Deadline-Ms: " + UPLOAD_TIME_LIMIT_MS + "\r\nContent-Length: "
              + UPLOAD_BYTES + "\r\n\r\n",
          new byte[0]);
      for (int i = 0; i < UPLOAD_STEPS; i++) {
        out.write(step);
        Thread.sleep(UPLOAD_MS / UPLOAD_STEPS);
      }
      response = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      lab.record.line("channel of " + attempt + " ended: " + e.getMessage());
    } catch (InterruptedException e) {
      return;
    }
    lab.record.line("client got for " + attempt + ": " + response.describe());
  }
}
