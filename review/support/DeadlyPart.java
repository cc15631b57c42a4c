import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A shared part of a prompt crashes each engine that begins to write an answer on it. Requests with
 * that part come once a second, no two alike.
 */
public final class DeadlyPart {
  private static final int ENGINES = 8;
  private static final long RESTART_MS = 2_000;
  private static final long RUN_MS = 22_000;
  private static final long DEADLY_INTERVAL_MS = 1_000;
  private static final long SOUND_INTERVAL_MS = 50;
  private static final int TIME_LIMIT_MS = 4_000;

  /** Crashes after which no more than a few requests with the part may reach engines. */
  private static final int MAX_CRASHES = 5;

  private static final int MAX_LATER_REQUESTS = 3;

  private static final String CONFIGURATION =
      "{\"version\":1,\"routes\":[{\"name\":\"r-chat\",\"host\":\"shop.example\","
          + "\"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":4000,"
          + "\"targetLatencyMs\":400,\"priority\":0,\"service\":\"assist\",\"maxAttempts\":2,"
          + "\"sessionAffinity\":true,\"resumable\":false,\"targetGapMs\":150}],"
          + "\"services\":[{\"name\":\"assist\",\"healthPath\":\"/health\",\"maxConnections\":290,"
          + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,\"kvCacheTokens\":130139,"
          + "\"models\":[{\"name\":\"m0\",\"weightsMb\":34300.0,\"loadTimeS\":2.0,\"adapters\":0,"
          + "\"adapterSizeMb\":40.0,\"memoryLoadS\":0.39,\"diskLoadS\":0.5}],"
          + "\"weightsMb\":83000.0,\"adapterCapacity\":8,\"loadsPerS\":2.2}}],"
          + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
          + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

  private DeadlyPart() {}

  /** Argument: path of the record. */
  public static void main(String[] args) throws Exception {
    Lab.run(args[0], DeadlyPart::run);
  }

  private static int run(Lab lab) throws Exception {
    lab.startStore(CONFIGURATION);
    for (int i = 1; i <= ENGINES; i++) {
      String name = "i-" + i;
      Process first = lab.startEngine(name + "-1", "assist", Engine.Mode.STREAM, 0, "m0");
      Thread keeper = new Thread(() -> restart(lab, name, first));
      keeper.setDaemon(true);
      keeper.start();
    }
    Lab.Gateway gateway = lab.startGateway("gw-1");
    Thread.sleep(2_500);
    long untilMs = Lab.nowMs() + RUN_MS;
    Thread sound = new Thread(() -> send(lab, gateway, "sound", SOUND_INTERVAL_MS, untilMs));
    sound.start();
    if (lab.trouble) {
      send(lab, gateway, "deadly", DEADLY_INTERVAL_MS, untilMs);
    }
    sound.join();
    Thread.sleep(1_000);
    return judge(lab);
  }

  /** Starts an engine again some seconds after it has crashed, under a new identifier and empty. */
  private static void restart(Lab lab, String name, Process first) {
    try {
      Process current = first;
      for (int boot = 2; ; boot++) {
        current.waitFor();
        Thread.sleep(RESTART_MS);
        current = lab.startEngine(name + "-" + boot, "assist", Engine.Mode.STREAM, 0, "-");
      }
    } catch (InterruptedException | IOException e) {
      // The case has ended.
    }
  }

  private static void send(
      Lab lab, Lab.Gateway gateway, String kind, long intervalMs, long untilMs) {
    for (int i = 1; Lab.nowMs() < untilMs; i++) {
      String attempt = kind + i;
      String part = kind.equals("deadly") ? "dead0001" : "900d0001";
      new Thread(() -> call(lab, gateway, attempt, part)).start();
      try {
        Thread.sleep(intervalMs);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void call(Lab lab, Lab.Gateway gateway, String attempt, String part) {
    byte[] body = ("{\"text\":\"" + attempt + "\"}").getBytes();
    Http.Response response =
        Http.call(
            gateway.callers(),
            "POST /chat/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Model: m0\r\nX-Token-Usage: 543,60\r\nX-Prompt-Prefix: 5c1e07a2:92," + part
                + ":80," + Integer.toHexString(attempt.hashCode()) + ":371\r\nX-Deadline-Ms: "
                + TIME_LIMIT_MS + "\r\nContent-Length: " + body.length + "\r\n\r\n",
            body,
            TIME_LIMIT_MS + 1_000);
    lab.record.line("client got for " + attempt + ": " + response.describe());
  }

  /** Reads from the record when engines crashed and when later requests with the part ran. */
  private static int judge(Lab lab) throws IOException {
    Path record = Path.of(lab.recordPath);
    List<Long> crashes = Record.timesMs(record, ": crashes on ");
    if (crashes.size() < MAX_CRASHES) {
      lab.record.line("crashes " + crashes.size());
      return Lab.RULE_HELD;
    }
    long boundMs = crashes.get(MAX_CRASHES - 1) + Lab.CONTACT_TIMEOUT_MS;
    long later =
        Record.timesMs(record, "with the deadly part").stream()
            .filter(atMs -> atMs > boundMs)
            .count();
    lab.record.line("crashes " + crashes.size() + ", requests with the part that reached engines "
        + "later than " + Lab.CONTACT_TIMEOUT_MS + " ms after crash " + MAX_CRASHES + ": " + later);
    if (later > MAX_LATER_REQUESTS) {
      lab.record.line("BUDGET: more than " + MAX_LATER_REQUESTS);
      return Lab.RULE_BROKEN;
    }
    return Lab.RULE_HELD;
  }
}
