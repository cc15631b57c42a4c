package org.limpetdoor.bench.traffic;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.entry.EntryServer;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.RunningStandin;
import org.limpetdoor.standin.Standins;
import org.limpetdoor.standin.engine.EngineSettings;

/** One entry and one engine stand-in on loopback, each with its own threads. */
final class Testbed implements AutoCloseable {
  static final String KEY = "bench-key";
  static final String MODEL = "bench-model";

  /** Time between two tokens. Tokens sent at once would share packets and cost less. */
  static final int TOKEN_INTERVAL_MS = 5;

  /** More slots than open requests, so that no request waits. */
  private static final int SLOTS = 256;

  private static final int MAX_TOKENS = 4_096;
  private static final int MEMORY_MIB = 1_000;
  private static final double UNLIMITED_RATE = 1e9;
  private static final int UNLIMITED_BURST = 1_000_000_000;
  private static final ZoneId ZONE = new ZoneId("zone");
  private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

  private final ComponentThreads entryThreads = new ComponentThreads("entry");
  private final ComponentThreads engineThreads = new ComponentThreads("engine");
  private final RunningStandin engine;
  private final EntryServer entry;

  private Testbed() throws InterruptedException {
    engine = engineThreads.call(() -> Standins.start(engineSettings()));
    try {
      SingleRecordLog log = new SingleRecordLog(configuration(engineAddress()));
      entry = entryThreads.call(() -> EntryServer.start(entrySettings(), log));
      log.awaitRecordDelivered();
    } catch (RuntimeException | InterruptedException e) {
      engine.close();
      throw e;
    }
  }

  /** Starts the entry and the stand-in. */
  static Testbed start() throws InterruptedException {
    return new Testbed();
  }

  String engineAddress() {
    return engine.address().toString();
  }

  String entryAddress() {
    return entry.callerAddress().toString();
  }

  ComponentThreads entryThreads() {
    return entryThreads;
  }

  ComponentThreads engineThreads() {
    return engineThreads;
  }

  @Override
  public void close() {
    entry.close();
    engine.close();
  }

  private static EngineSettings engineSettings() {
    return new EngineSettings(
        new ListenAddress("127.0.0.1", 0),
        SLOTS,
        TOKEN_INTERVAL_MS,
        MAX_TOKENS,
        MEMORY_MIB,
        0,
        true,
        Map.of(MODEL, 1));
  }

  private static InstanceSettings entrySettings() {
    return InstanceSettings.of(new InstanceId("bench"), ZONE, ANY_PORT, ANY_PORT, ANY_PORT);
  }

  private static Configuration configuration(String engineAddress) {
    ModelId model = new ModelId(MODEL);
    Contract contract =
        new Contract(
            new CustomerId("customer"),
            List.of(keyDigest()),
            new ArrivalLimit(UNLIMITED_RATE, UNLIMITED_BURST, UNLIMITED_RATE, UNLIMITED_BURST),
            new QueueLimit(1_000, 1_000_000),
            60_000,
            0.5,
            1,
            ShedOrder.NORMAL);
    Engine configured =
        new Engine(
            new BackendId("engine"),
            ZONE,
            engineAddress,
            SLOTS,
            MEMORY_MIB,
            FencingSupport.CHECKED,
            List.of(model));
    return Configuration.EMPTY
        .withContracts(List.of(contract))
        .withModels(List.of(new Model(model, "1", 1, 1, 1_000)))
        .withEngines(List.of(configured));
  }

  private static KeyDigest keyDigest() {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] bytes = digest.digest(KEY.getBytes(StandardCharsets.UTF_8));
      return new KeyDigest(HexFormat.of().formatHex(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each Java platform has SHA-256", e);
    }
  }
}
