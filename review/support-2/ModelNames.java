import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that are not controlled send requests of legal size, each with another long model name.
 * Without the trouble they send as many requests with the same few names of the same length.
 */
final class ModelNames {
  private static final int CROWD = 400;
  private static final int STACK_BYTES = 256 << 10;
  private static final int NAME_BYTES = 15_000;
  private static final int FEW_NAMES = 20;
  private static final int ORDINARY_CLIENTS = 10;
  private static final int STREAM_CLIENTS = 40;
  private static final int ANSWER_BYTES = 800;
  private static final int WORK_MS = 300;
  private static final long CALM_MS = 10_000;
  private static final long CROWD_MS = 60_000;

  /** The rule allows three. */
  private static final int MAX_LOST = 3;

  private ModelNames() {}

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
    Engine chat =
        new Engine(
            lab, store, "i-chat", "zone-a", lab.machine(2),
            Engine.Kind.chat(20, 80, 100));
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
      new Thread(new StreamClient(gateway, i, streamsEndMs, List.of(chat), streams)).start();
    }
    Lab.sleepMs(CALM_MS);
    int answeredInCalm = results.answered.get();
    int streamsInCalm = streams.answered.get();
    lab.note("in calm, ordinary requests: " + results);
    lab.note("in calm, streams: " + streams);
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    lab.note("the crowd begins: " + CROWD + " connections, names of " + NAME_BYTES + " bytes");
    long endMs = Lab.nowMs() + CROWD_MS;
    for (int i = 0; i < CROWD; i++) {
      new Thread(
              null, () -> crowd(gateway, endMs, sent, refused), "crowd-" + i, STACK_BYTES)
          .start();
    }
    while (Lab.nowMs() < endMs && gateway.alive()) {
      Lab.sleepMs(100);
    }
    boolean ended = !gateway.alive();
    lab.note("the crowd has sent " + sent + " requests, " + refused + " were answered 503");
    if (ended) {
      lab.note("the gateway has ended by itself with exit code " + gateway.process().exitValue());
    }
    Lab.sleepMs(1_000);
    clients.forEach(OrdinaryClient::stop);
    Lab.sleepMs(1_000);
    lab.note("ordinary requests: " + results);
    lab.note("streams: " + streams);
    int lost = results.lost.get() + streams.lost.get();
    chat.close();
    ledger.close();
    store.close();
    if (answeredInCalm == 0 || streamsInCalm == 0) {
      return Lab.EXIT_NOT_RUN;
    }
    return lost > MAX_LOST ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
  }

  private static void crowd(
      Lab.Gateway gateway, long endMs, AtomicInteger sent, AtomicInteger refused) {
    while (gateway.alive() && Lab.nowMs() < endMs) {
      try (Http.Connection connection = Http.connect(gateway.address(), gateway.callerPort())) {
        while (Lab.nowMs() < endMs) {
          int count = sent.incrementAndGet();
          String name = "m-" + (Lab.withoutTrouble() ? count % FEW_NAMES : count) + "-";
          connection.send(
              "POST " + Deployment.CHAT + "x HTTP/1.1\r\nHost: " + Deployment.HOST
                  + "\r\nX-Attempt-Id: crowd-" + count + "\r\nX-Model: " + name
                  + "n".repeat(NAME_BYTES - name.length())
                  + "\r\nX-Token-Usage: 100,50\r\nX-Prompt-Prefix: aa:50,bb:50"
                  + "\r\nX-Deadline-Ms: 400\r\nContent-Length: 2\r\n\r\nok");
          if (connection.readResponse(10_000).status() == 503) {
            refused.incrementAndGet();
          }
        }
      } catch (IOException e) {
        Lab.sleepMs(50);
      }
    }
  }
}
