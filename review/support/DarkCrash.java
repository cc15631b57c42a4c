import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request takes down the machine of each engine that begins to run it, and comes again. The
 * machine closes no channel: it is silent.
 */
public final class DarkCrash {
  private static final int ENGINES = 12;
  private static final long BACK_MS = 3_000;
  private static final long RUN_MS = 45_000;
  private static final long DEADLY_INTERVAL_MS = 5_000;
  private static final long SOUND_INTERVAL_MS = 100;
  private static final int TIME_LIMIT_MS = 2_500;

  /** Crashes after which the request may reach engines only a few times more. */
  private static final int MAX_CRASHES = 3;

  private static final int MAX_LATER_RETRIES = 3;

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":[{\"name\":\"r-lookup\",\"host\":\"shop.example\","
          + "\"pathPrefix\":\"/lists/\",\"kind\":\"idempotent\",\"timeoutMs\":2500,"
          + "\"targetLatencyMs\":193,\"priority\":0,\"service\":\"ledger\",\"maxAttempts\":2}],"
          + "\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":96,"
          + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
          + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

  private static final AtomicInteger NEXT_BOOT = new AtomicInteger();

  private DarkCrash() {}

  /** Argument: path of the record. */
  public static void main(String[] args) throws Exception {
    Lab.run(args[0], DarkCrash::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.startStore(CONFIGURATION);
    for (int i = 0; i < ENGINES; i++) {
      startEngine(lab);
    }
    Lab.Gateway gateway = lab.startGateway("gw-1");
    Thread.sleep(Lab.CONTACT_TIMEOUT_MS);
    long untilMs = Lab.nowMs() + RUN_MS;
    daemon(() -> bringBack(lab));
    Thread sound = daemon(() -> send(lab, gateway, "sound", SOUND_INTERVAL_MS, untilMs));
    if (lab.trouble) {
      send(lab, gateway, "deadly", DEADLY_INTERVAL_MS, untilMs);
    }
    sound.join();
    Thread.sleep(1_000);
    return judge(lab);
  }

  private static Process startEngine(Lab lab) throws IOException {
    return lab.startEngine(
        "i-" + NEXT_BOOT.incrementAndGet(), "ledger", Engine.Mode.DARK, 800, "-");
  }

  /** Starts an engine under a new identifier some seconds after each crash. */
  private static void bringBack(Lab lab) {
    try {
      for (int back = 0; ; ) {
        if (crashTimesMs(lab).size() > back) {
          back++;
          daemon(
              () -> {
                Thread.sleep(BACK_MS);
                startEngine(lab);
              });
        }
        Thread.sleep(50);
      }
    } catch (IOException | InterruptedException e) {
      // The case has ended.
    }
  }

  /** An action that may fail when the case ends. */
  interface Action {
    void run() throws Exception;
  }

  private static Thread daemon(Action action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (Exception e) {
                // The case has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void send(
      Lab lab, Lab.Gateway gateway, String kind, long intervalMs, long untilMs)
      throws InterruptedException {
    for (int i = 1; Lab.nowMs() < untilMs; i++) {
      String attempt = kind + i;
      // The deadly request is the same each time; sound ones differ.
      String path = kind.equals("deadly") ? "/lists/dead0001" : "/lists/" + i;
      daemon(() -> call(lab, gateway, attempt, path));
      Thread.sleep(intervalMs);
    }
  }

  private static void call(Lab lab, Lab.Gateway gateway, String attempt, String path) {
    Http.Response response =
        Http.call(
            gateway.callers(),
            "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: " + TIME_LIMIT_MS + "\r\n\r\n",
            new byte[0],
            TIME_LIMIT_MS + 1_000);
    lab.record.line("client got for " + attempt + ": " + response.describe());
  }

  private static List<Long> crashTimesMs(Lab lab) throws IOException {
    return Record.timesMs(Path.of(lab.recordPath), ": crashes on ");
  }

  private static int judge(Lab lab) throws IOException {
    List<Long> crashes = crashTimesMs(lab);
    if (crashes.size() < MAX_CRASHES) {
      lab.record.line("crashes " + crashes.size());
      return Lab.RULE_HELD;
    }
    long boundMs = crashes.get(MAX_CRASHES - 1) + Lab.CONTACT_TIMEOUT_MS;
    long later =
        Record.timesMs(Path.of(lab.recordPath), ", the deadly request").stream()
            .filter(atMs -> atMs > boundMs)
            .count();
    lab.record.line("crashes " + crashes.size() + ", arrivals of the request at engines later than "
        + Lab.CONTACT_TIMEOUT_MS + " ms after crash " + MAX_CRASHES + ": " + later);
    if (later > MAX_LATER_RETRIES) {
      lab.record.line("BUDGET: more than " + MAX_LATER_RETRIES);
      return Lab.RULE_BROKEN;
    }
    return Lab.RULE_HELD;
  }
}
