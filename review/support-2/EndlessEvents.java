import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Three of six model engines get into trouble while they send streams: instead of the next event
 * they send bytes that end no event, until the connection is closed. Without the trouble they go on.
 */
final class EndlessEvents {
  private static final int CHAT_ENGINES = 6;
  private static final int STREAM_CLIENTS = 500;
  private static final int ORDINARY_CLIENTS = 10;
  private static final int ANSWER_BYTES = 800;
  private static final int WORK_MS = 300;
  private static final long CALM_MS = 6_000;
  private static final long WATCH_MS = 15_000;

  /** The rule allows three. */
  private static final int MAX_LOST = 3;

  private EndlessEvents() {}

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
    Engine.Kind chat = Engine.Kind.chat(40, 20, 100);
    List<Engine> inTrouble = new ArrayList<>();
    List<Engine> sound = new ArrayList<>();
    for (int i = 0; i < CHAT_ENGINES; i++) {
      (i % 2 == 0 ? inTrouble : sound)
          .add(new Engine(lab, store, "i-chat-" + i, "zone-a", lab.machine(40 + i), chat));
    }
    Engine ledger =
        new Engine(
            lab, store, "i-ledger", "zone-a", lab.machine(4),
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
    long endMs = Lab.nowMs() + CALM_MS + WATCH_MS;
    for (int i = 0; i < STREAM_CLIENTS; i++) {
      new Thread(new StreamClient(gateway, i, endMs, sound, streams)).start();
      Lab.sleepMs(10);
    }
    Lab.sleepMs(CALM_MS);
    int answeredInCalm = results.answered.get();
    int streamsInCalm = streams.answered.get();
    lab.note("in calm, ordinary requests: " + results);
    lab.note("in calm, streams: " + streams);
    if (!Lab.withoutTrouble()) {
      inTrouble.forEach(Engine::getIntoTrouble);
    }
    while (Lab.nowMs() < endMs && gateway.alive()) {
      Lab.sleepMs(50);
    }
    if (!gateway.alive()) {
      lab.note("the gateway has ended by itself with exit code " + gateway.process().exitValue());
    }
    Lab.sleepMs(500);
    clients.forEach(OrdinaryClient::stop);
    Lab.sleepMs(1_000);
    lab.note("ordinary requests: " + results);
    lab.note("streams: " + streams);
    int lost = results.lost.get() + streams.lost.get();
    inTrouble.forEach(Engine::close);
    sound.forEach(Engine::close);
    ledger.close();
    store.close();
    if (answeredInCalm == 0 || streamsInCalm == 0) {
      return Lab.EXIT_NOT_RUN;
    }
    return lost > MAX_LOST ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
  }
}
