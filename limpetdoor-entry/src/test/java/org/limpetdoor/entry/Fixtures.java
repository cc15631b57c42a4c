package org.limpetdoor.entry;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.ServiceEndpoint;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.settings.InstanceSettings;

/** Settings and configuration of the instances under test. */
final class Fixtures {
  static final String KEY = "test-key";
  private static final ZoneId ZONE = new ZoneId("a");
  private static final ZoneId OTHER_ZONE = new ZoneId("b");
  private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

  private Fixtures() {}

  static InstanceSettings settings() {
    return settings(InstanceSettings.DEFAULT_MAX_CONNECTIONS);
  }

  static InstanceSettings settings(int maxConnections) {
    return new InstanceSettings(
        new InstanceId("test"),
        ZONE,
        ANY_PORT,
        ANY_PORT,
        Optional.empty(),
        ANY_PORT,
        InstanceSettings.DEFAULT_LOG_STREAM,
        Optional.empty(),
        Optional.empty(),
        InstanceSettings.DEFAULT_PEER_SECRET,
        InstanceSettings.DEFAULT_MAX_BODY_BYTES,
        InstanceSettings.DEFAULT_MAX_HEADER_BYTES,
        maxConnections,
        InstanceSettings.DEFAULT_DRAIN_TIMEOUT_MS);
  }

  static KeyDigest keyDigest() {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(KEY.getBytes(UTF_8));
      return new KeyDigest(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a configuration of a customer, a model on both engines and a service on the first. */
  static Configuration configuration(FakeEngine first, FakeEngine second) {
    return configuration(first.address(), second.address());
  }

  /** Returns the same configuration for engines at the given addresses. */
  static Configuration configuration(String first, String second) {
    Contract contract =
        new Contract(
            new CustomerId("c"),
            List.of(keyDigest()),
            new ArrivalLimit(1_000, 1_000, 1_000_000, 1_000_000),
            new QueueLimit(10, 100_000),
            60_000,
            0.5,
            1,
            ShedOrder.NORMAL);
    ServiceEndpoint endpoint = new ServiceEndpoint(new BackendId("s1"), ZONE, first, 4);
    return Configuration.EMPTY
        .withContracts(List.of(contract))
        .withModels(List.of(new Model(new ModelId("m"), "1", 1, 1, 1_000)))
        .withEngines(List.of(engine("e1", first), engine("e2", second)))
        .withServices(
            List.of(new PlainService(new ServiceId("orders"), List.of(endpoint), List.of())));
  }

  /** Places e1 alone in the zone of the instance, which makes it the preferred engine. */
  private static Engine engine(String id, String address) {
    return new Engine(
        new BackendId(id),
        id.equals("e1") ? ZONE : OTHER_ZONE,
        address,
        4,
        10,
        FencingSupport.CHECKED,
        List.of(new ModelId("m")));
  }
}
