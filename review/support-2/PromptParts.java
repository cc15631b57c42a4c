import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that are not controlled send requests of legal size whose prompt has very many empty
 * parts, and read the streams that they get. Without the trouble the prompts have two parts, and the
 * heads are as long.
 */
final class PromptParts {
  private static final int CROWD = 500;
  private static final int CHAT_ENGINES = 6;
  private static final int HEADER_BYTES = 14_800;
  private static final String LAST_PARTS = "c:9,b:9";
  private static final int ORDINARY_CLIENTS = 10;
  private static final int STREAM_CLIENTS = 40;
  private static final int ANSWER_BYTES = 800;
  private static final int WORK_MS = 300;
  private static final long CALM_MS = 10_000;
  private static final long CROWD_MS = 40_000;

  /** The rule LOST allows three. */
  private static final int MAX_LOST = 3;

  /** Fewer are no evidence. */
  private static final int MIN_UNANSWERED = 8;

  private PromptParts() {}

  public static void main(String[] args) throws Exception {
    int result = Lab.EXIT_NOT_RUN;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      result = run(lab);
      lab.note("exit " + result);
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  private static int run(Lab lab) throws IOException {
    Store store = new Store(lab.machine(1));
    store.put(Wire.name("operatorTopic"), "config", Deployment.configuration(1));
    List<Engine> chats = new ArrayList<>();
    for (int i = 0; i < CHAT_ENGINES; i++) {
      chats.add(
          new Engine(
              lab, store, "i-chat-" + i, "zone-a", lab.machine(40 + i),
              Engine.Kind.chat(40, 40, 150)));
    }
    Engine ledger =
        new Engine(
            lab, store, "i-ledger", "zone-a", lab.machine(3),
            Engine.Kind.plain(20, WORK_MS, ANSWER_BYTES));
    Lab.Gateway gateway = lab.startGateway(1, "zone-a", store.address());
    if (!lab.awaitReady(gateway, 20_000)) {
      lab.note("the gateway did not become ready");
      return Lab.EXIT_NOT_RUN;
    }
    Lab.sleepMs(2_000);
    OrdinaryClient.Results results = new OrdinaryClient.Results();
    List<OrdinaryClient> clients = new ArrayList<>();
    for (int i = 0; i < ORDINARY_CLIENTS; i++) {
      OrdinaryClient client =
          new OrdinaryClient(
              lab, gateway, "ordinary-" + i, Deployment.RESERVE, 50, new Engine[] {ledger}, results);
      clients.add(client);
      new Thread(client).start();
    }
    OrdinaryClient.Results streams = new OrdinaryClient.Results();
    long streamsEndMs = Lab.nowMs() + CALM_MS + CROWD_MS;
    for (int i = 0; i < STREAM_CLIENTS; i++) {
      new Thread(new StreamClient(gateway, i, streamsEndMs, chats, streams)).start();
    }
    Lab.sleepMs(CALM_MS);
    int answeredInCalm = results.answered.get();
    int streamsInCalm = streams.answered.get();
    lab.note("in calm, ordinary requests: " + results);
    lab.note("in calm, streams: " + streams);
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    String prompt = Lab.withoutTrouble() ? twoParts() : manyParts();
    lab.note(
        "the crowd begins: " + CROWD + " connections, prompts of " + prompt.split(",", -1).length
            + " parts in " + prompt.length() + " bytes");
    long endMs = Lab.nowMs() + CROWD_MS;
    for (int i = 0; i < CROWD; i++) {
      String from = lab.machine(30 + i % 8);
      new Thread(null, () -> crowd(gateway, from, prompt, endMs, sent, refused), "crowd", 256 << 10)
          .start();
    }
    while (Lab.nowMs() < endMs && gateway.alive()) {
      Lab.sleepMs(100);
    }
    lab.note("the crowd has sent " + sent + " requests, " + refused + " were answered 503");
    if (!gateway.alive()) {
      lab.note("the gateway has ended by itself with exit code " + gateway.process().exitValue());
    }
    Lab.sleepMs(1_000);
    clients.forEach(OrdinaryClient::stop);
    Lab.sleepMs(1_000);
    lab.note("ordinary requests: " + results);
    lab.note("streams: " + streams);
    int lost = results.lost.get() + streams.lost.get();
    chats.forEach(Engine::close);
    ledger.close();
    store.close();
    if (answeredInCalm == 0 || streamsInCalm == 0) {
      return Lab.EXIT_NOT_RUN;
    }
    int unanswered = results.unanswered.get();
    boolean broken =
        unanswered >= MIN_UNANSWERED && results.unansweredLater.get() * 2 > unanswered;
    lab.note("CONFIG broken: " + broken + "; LOST broken: " + (lost > MAX_LOST));
    return broken || lost > MAX_LOST ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
  }

  /** Returns a list of empty parts with two at its end that are not. */
  private static String manyParts() {
    return ",".repeat(HEADER_BYTES - LAST_PARTS.length()) + LAST_PARTS;
  }

  private static String twoParts() {
    return "a".repeat(HEADER_BYTES - LAST_PARTS.length()) + LAST_PARTS;
  }

  private static void crowd(
      Lab.Gateway gateway,
      String from,
      String prompt,
      long endMs,
      AtomicInteger sent,
      AtomicInteger refused) {
    while (gateway.alive() && Lab.nowMs() < endMs) {
      try (Http.Connection connection =
          Http.connect(from, gateway.address(), gateway.callerPort())) {
        while (Lab.nowMs() < endMs) {
          connection.send(
              "POST " + Deployment.BATCH + "x HTTP/1.1\r\nHost: " + Deployment.HOST
                  + "\r\nX-Attempt-Id: crowd-" + sent.incrementAndGet() + "\r\nX-Model: "
                  + Deployment.MODEL + "\r\nX-Token-Usage: 100,50\r\nX-Prompt-Prefix: " + prompt
                  + "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nok");
          if (connection.readResponse(20_000).status() == 503) {
            refused.incrementAndGet();
          }
        }
      } catch (IOException e) {
        Lab.sleepMs(50);
      }
    }
  }
}
