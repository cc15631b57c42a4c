import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * In each of some rounds the second gateway of two is started, and within two seconds an engine
 * leaves without a report: its entry is removed, and it serves for some seconds more. Without the
 * trouble there is one gateway. The clients send nothing for a moment, so that the gateway does not
 * learn from answers of the engine that it leaves. All requests go through the first gateway.
 */
final class StartedGateway {
  private static final int ROUNDS = 8;
  private static final int GATEWAYS = 1;
  private static final int STAYING_ENGINES = 2;
  private static final int CLIENTS_PER_GATEWAY = 8;
  private static final int PAUSE_MS = 100;
  private static final int ANSWER_BYTES = 800;
  private static final int WORK_MS = 40;
  private static final long LIST_INTERVAL_MS = 1_000;
  private static final long MIN_AGE_MS = 40;
  private static final long MAX_SUM_MS = 480;
  private static final long TURN_MS = 250;
  private static final long MAX_TURN_MS = 1_500;
  private static final long MAX_START_MS = 5_000;
  private static final long POLL_MS = 5;
  private static final long DRAIN_TIMEOUT_MS = 2_000;
  private static final long LULL_MS = 2_300;
  private static final long SERVES_MS = 5_000;

  /** Time from the start of a gateway to its first reads, as seen in the last round. */
  private static long startupMs = 500;

  private StartedGateway() {}

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

  private static int run(Lab lab) throws Exception {
    Store store = new Store(lab.machine(1));
    store.put(Wire.name("operatorTopic"), "config", Deployment.configuration(1));
    Engine.Kind kind = Engine.Kind.plain(6, WORK_MS, ANSWER_BYTES);
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < STAYING_ENGINES + ROUNDS; i++) {
      String zone = i % 2 == 0 ? "zone-a" : "zone-b";
      engines.add(new Engine(lab, store, "i-ledger-" + i, zone, lab.machine(40 + i), kind));
    }
    Engine[] all = engines.toArray(Engine[]::new);
    List<Lab.Gateway> gateways = new ArrayList<>();
    for (int i = 1; i <= GATEWAYS; i++) {
      gateways.add(lab.startGateway(i, i % 2 == 0 ? "zone-b" : "zone-a", store.address()));
    }
    for (Lab.Gateway gateway : gateways) {
      if (!lab.awaitReady(gateway, 20_000)) {
        lab.note(gateway.name() + " did not become ready");
        return Lab.EXIT_NOT_RUN;
      }
    }
    Lab.sleepMs(4_000);
    OrdinaryClient.Results results = new OrdinaryClient.Results();
    List<OrdinaryClient> clients = new ArrayList<>();
    for (Lab.Gateway gateway : gateways) {
      for (int i = 1; i <= CLIENTS_PER_GATEWAY; i++) {
        String name = gateway.name() + "-client-" + i;
        OrdinaryClient client =
            new OrdinaryClient(lab, gateway, name, Deployment.RESERVE, PAUSE_MS, all, results);
        clients.add(client);
        new Thread(client).start();
      }
    }
    Lab.sleepMs(3_000);
    lab.note("in calm " + results.answered + " requests were answered");
    if (results.answered.get() == 0) {
      return Lab.EXIT_NOT_RUN;
    }
    String address = store.listen(lab.machine(1));
    long late = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Engine leaving = engines.get(STAYING_ENGINES + round);
      late += playRound(lab, store, GATEWAYS + 1 + round, address, leaving, results);
    }
    clients.forEach(OrdinaryClient::stop);
    Lab.sleepMs(1_500);
    lab.note("requests: " + results);
    lab.note(
        late + " requests reached engines later than " + DRAIN_TIMEOUT_MS
            + " ms after the store had acknowledged that they are gone");
    for (Lab.Gateway gateway : gateways) {
      for (String line : lab.logLines(gateway, " state=")) {
        lab.note("log of " + gateway.name() + ": " + line);
      }
    }
    engines.forEach(Engine::close);
    store.close();
    return late > 0 ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
  }

  /** Plays a round and returns the number of requests that reached the engine too late. */
  private static long playRound(
      Lab lab, Store store, int number, String storeAddress, Engine leaving, OrdinaryClient.Results results)
      throws Exception {
    results.beQuiet(MAX_START_MS);
    Lab.Gateway started = null;
    if (!Lab.withoutTrouble()) {
      awaitListRead(store);
      Lab.sleepMs(Math.floorMod(LIST_INTERVAL_MS + TURN_MS - startupMs, LIST_INTERVAL_MS));
      long beganMs = Lab.nowMs();
      started = lab.startGateway(number, "zone-b", storeAddress);
      if (!store.awaitKey(Wire.name("instanceTopic"), started.name(), 10_000)) {
        throw new IOException(started.name() + " has not written its entry");
      }
      startupMs = Lab.nowMs() - beganMs;
      awaitTurn(store, storeAddress);
    }
    results.beQuiet(LULL_MS);
    leaving.leaveUnreported();
    long acknowledgedMs = Lab.nowMs();
    leaving.onRun(
        run ->
            lab.note(
                leaving.id() + " runs " + run.attempt() + ", " + (run.beganMs() - acknowledgedMs)
                    + " ms after the store had acknowledged that it is gone"));
    Lab.sleepMs(SERVES_MS);
    long late =
        leaving.runs().values().stream()
            .filter(run -> run.beganMs() > acknowledgedMs + DRAIN_TIMEOUT_MS)
            .count();
    leaving.close();
    if (started != null) {
      started.process().toHandle().destroy();
      started.process().waitFor();
      lab.note(started.name() + " has been stopped");
    }
    return late;
  }

  /** Waits until the first gateway has read the list of engines. */
  private static void awaitListRead(Store store) {
    long beforeMs = store.lastListReadMs(store.address());
    while (store.lastListReadMs(store.address()) == beforeMs) {
      Lab.sleepMs(POLL_MS);
    }
  }

  /**
   * Waits, for a second and a half at most, until the new gateway is the next one that will read the
   * list of engines, and the first one has just read it.
   */
  private static void awaitTurn(Store store, String storeAddress) {
    long endMs = Lab.nowMs() + MAX_TURN_MS;
    while (Lab.nowMs() < endMs) {
      long othersMs = Lab.nowMs() - store.lastListReadMs(store.address());
      long ownMs = Lab.nowMs() - store.lastListReadMs(storeAddress);
      long ownDueMs = LIST_INTERVAL_MS - ownMs;
      if (othersMs >= MIN_AGE_MS && ownDueMs > 0 && othersMs + ownDueMs <= MAX_SUM_MS) {
        return;
      }
      Lab.sleepMs(POLL_MS);
    }
  }
}
