import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An engine leaves without a report: its entry is removed, and it serves for some seconds more.
 * Later the store is away for half a second and comes back from a copy that still names the engine.
 * Without the trouble the store stays.
 */
final class RestoredStore {
  private static final int GATEWAYS = 4;
  private static final int CLIENTS_PER_GATEWAY = 1;
  private static final int PAUSE_MS = 1_500;
  private static final int ANSWER_BYTES = 800;
  private static final int WORK_MS = 60;
  private static final long DRAIN_TIMEOUT_MS = 2_000;
  private static final long COPY_BEFORE_LEAVING_MS = 1_000;
  private static final long AWAY_AFTER_LEAVING_MS = 2_500;
  private static final long AWAY_MS = 500;
  private static final long REPEATED_AFTER_MS = 600;
  private static final long SERVES_MS = 9_000;

  private RestoredStore() {}

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
    Engine.Kind kind = Engine.Kind.plain(6, WORK_MS, ANSWER_BYTES);
    Engine first = new Engine(lab, store, "i-ledger-1", "zone-a", lab.machine(2), kind);
    Engine second = new Engine(lab, store, "i-ledger-2", "zone-b", lab.machine(3), kind);
    Engine leaving = new Engine(lab, store, "i-ledger-3", "zone-a", lab.machine(4), kind);
    Engine[] engines = {first, second, leaving};
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
      for (int i = 0; i < CLIENTS_PER_GATEWAY; i++) {
        String name = gateway.name() + "-client-" + i;
        OrdinaryClient client =
            new OrdinaryClient(
                lab, gateway, name, Deployment.RESERVE, PAUSE_MS, engines, results);
        clients.add(client);
        new Thread(client).start();
        Lab.sleepMs(PAUSE_MS / CLIENTS_PER_GATEWAY);
      }
    }
    Lab.sleepMs(9_000);
    int inCalm = leaving.runs().size();
    lab.note("in calm " + results.answered + " requests were answered, " + inCalm + " by i-ledger-3");
    Object copy = store.copy();
    Lab.sleepMs(COPY_BEFORE_LEAVING_MS);
    leaving.awaitAnswer();
    leaving.leaveUnreported();
    long acknowledgedMs = Lab.nowMs();
    leaving.onRun(
        run ->
            lab.note(
                "i-ledger-3 runs " + run.attempt() + ", " + (run.beganMs() - acknowledgedMs)
                    + " ms after the store had acknowledged that it is gone"));
    Lab.sleepMs(AWAY_AFTER_LEAVING_MS);
    if (!Lab.withoutTrouble()) {
      lab.note("the store goes away");
      store.goAway();
      Lab.sleepMs(AWAY_MS);
      store.comeBackFrom(copy);
      lab.note("the store is back from a copy of " + COPY_BEFORE_LEAVING_MS + " ms before the removal");
      Lab.sleepMs(REPEATED_AFTER_MS);
      store.put(Wire.name("operatorTopic"), "config", Deployment.configuration(1));
      leaving.repeatRemoval();
      lab.note("the operator and the engines have written again what they wrote");
    }
    Lab.sleepMs(acknowledgedMs + SERVES_MS - Lab.nowMs());
    clients.forEach(OrdinaryClient::stop);
    Lab.sleepMs(1_000);
    long late =
        leaving.runs().values().stream()
            .filter(run -> run.beganMs() > acknowledgedMs + DRAIN_TIMEOUT_MS)
            .count();
    lab.note("requests: " + results);
    lab.note(late + " requests reached i-ledger-3 later than " + DRAIN_TIMEOUT_MS + " ms");
    for (Engine engine : engines) {
      engine.close();
    }
    store.close();
    if (inCalm == 0) {
      return Lab.EXIT_NOT_RUN;
    }
    return late > 0 ? Lab.EXIT_BROKEN : Lab.EXIT_HELD;
  }
}
