package org.limpetdoor.entry.traffic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.limpetdoor.core.agreed.AppendFailure;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.event.AppendAnswered;
import org.limpetdoor.core.event.AppendFailed;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.InventoryReported;
import org.limpetdoor.core.event.OrderAnswered;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.placement.InventoryModel;
import org.limpetdoor.core.placement.InventoryQuery;
import org.limpetdoor.core.placement.OrderAnswer;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.runtime.log.LogFailure;
import org.limpetdoor.runtime.log.LogService;
import org.limpetdoor.runtime.log.LogServiceException;

/**
 * Guards against reporting an outcome as certain that the response of the log, an engine or the
 * instance list leaves open.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
final class ControlPlaneEffectsTest {
  private static final BackendId ENGINE = new BackendId("e1");
  private static final InventoryQuery QUERY = new InventoryQuery(5, 7);
  private static final Envelope ENVELOPE =
      new Envelope(new AppendId("i:1", 1), new LogRecord.LeaseRenewed(1, 2));

  private final BlockingQueue<Function<Long, Event>> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
  private final StubLog log = new StubLog();
  private final ControlPlaneEffects effects =
      new ControlPlaneEffects("test", log, scheduler, events::add);
  private HttpServer server;
  private volatile int responseStatus = 200;
  private volatile String responseBody = "{}";

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::respond);
    server.start();
  }

  @AfterEach
  void stop() {
    effects.close();
    scheduler.shutdownNow();
    server.stop(0);
  }

  @Test
  void appendIsAnsweredWithItsOffset() throws Exception {
    effects.appendRecord(new AppendRecord(ENVELOPE));
    assertThat(nextEvent()).isEqualTo(new AppendAnswered(9, ENVELOPE.id(), 42));
    assertThat(log.appended).isEqualTo(ENVELOPE);
  }

  @ParameterizedTest
  @EnumSource(LogFailure.class)
  void appendIsReportedNotTakenOnlyIfCertain(LogFailure failure) throws Exception {
    log.failure = Optional.of(failure);
    effects.appendRecord(new AppendRecord(ENVELOPE));
    AppendFailure expected =
        failure == LogFailure.UNREACHABLE || failure == LogFailure.REFUSED
            ? AppendFailure.NOT_TAKEN
            : AppendFailure.OUTCOME_UNKNOWN;
    assertThat(nextEvent()).isEqualTo(new AppendFailed(9, ENVELOPE.id(), expected));
  }

  @ParameterizedTest
  @CsvSource({
    "200,done,DONE",
    "200,stale_fencing_number,REFUSED",
    "200,no_memory,REFUSED",
    "200,unknown_model,REFUSED",
    "200,model_in_use,REFUSED",
    "200,later,UNKNOWN",
    "503,done,UNKNOWN",
    "400,done,UNKNOWN"
  })
  void orderAnswersAreMapped(int code, String result, OrderAnswer expected) throws Exception {
    responseStatus = code;
    responseBody = "{\"result\":\"" + result + "\"}";
    effects.sendOrder(order(5_000));
    assertThat(nextEvent()).isEqualTo(new OrderAnswered(9, "o1", expected));
    assertThat(received.take()).contains("\"fencingNumber\":3");
  }

  /** Guards against an order that is sent after its deadline, when another holder may order. */
  @Test
  void orderIsNotSentAfterDeadline() throws Exception {
    effects.sendOrder(order(0));
    assertThat(nextEvent()).isEqualTo(new OrderAnswered(9, "o1", OrderAnswer.UNKNOWN));
    assertThat(received).isEmpty();
  }

  @Test
  void inventoryIsReported() throws Exception {
    responseBody =
        """
        {"models": [{"model": "a", "memoryMib": 5}, {"model": "b", "memoryMib": 6, "ready": false}]}
        """;
    effects.requestInventory(inventory());
    List<InventoryModel> held =
        List.of(
            new InventoryModel(new ModelId("a"), 5, true),
            new InventoryModel(new ModelId("b"), 6, false));
    assertThat(nextEvent()).isEqualTo(new InventoryReported(9, ENGINE, QUERY, held));
  }

  /** Guards against a malformed inventory that marks memory in use as free. */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "200;{}",
        "200;[",
        "200;{\"models\":[{}]}",
        "200;{\"models\":[{\"model\":\"a\",\"memoryMib\":0}]}",
        "200;{\"models\":[{\"memoryMib\":1}]}",
        "500;{\"models\":[]}"
      })
  void malformedInventoryIsNotReported(int code, String text) throws Exception {
    responseStatus = code;
    responseBody = text;
    EngineControl control = new EngineControl(new ControlClient(scheduler), events::add);
    control.requestInventory(inventory()).join();
    assertThat(received.take()).isEmpty();
    assertThat(events).isEmpty();
  }

  @Test
  void instancesAreListed() throws Exception {
    responseBody =
        """
        {"instances": [{"name": "i1", "address": "127.0.0.1:1", "state": "live"},
                       {"name": "i2", "address": "127.0.0.1:2", "state": "leaving"}]}
        """;
    HostPort address = new HostPort("127.0.0.1", server.getAddress().getPort());
    InstanceListPoller.start(address, scheduler, events::add);
    InstancesListed listed = (InstancesListed) nextEvent();
    assertThat(listed.instances().stream().map(entry -> entry.id().value()))
        .containsExactly("i1", "i2");
    assertThat(listed.instances().get(0).leaving()).isFalse();
    assertThat(listed.instances().get(1).leaving()).isTrue();
  }

  /** Guards against a list of instances that is no longer followed because of one odd entry. */
  @Test
  void oddEntriesDoNotHideTheOtherInstances() throws Exception {
    String nested = "[".repeat(900) + "]".repeat(900);
    responseBody =
        """
        {"instances": [{"name": "", "address": "127.0.0.1:1"}, 7, %s,
                       {"name": "i2", "address": "127.0.0.1:99999"},
                       {"name": "i3", "address": "999.1.1.1:1"},
                       {"name": "i4", "address": 1e400},
                       {"name": "i5", "address": "127.0.0.1:5"}]}
        """
            .formatted(nested);
    HostPort address = new HostPort("127.0.0.1", server.getAddress().getPort());
    InstanceListPoller.start(address, scheduler, events::add);
    InstancesListed listed = (InstancesListed) nextEvent();
    assertThat(listed.instances().stream().map(entry -> entry.id().value())).containsExactly("i5");
  }

  private Event nextEvent() throws InterruptedException {
    return events.take().apply(9L);
  }

  private SendOrder order(long sendWithinMs) {
    return new SendOrder(
        ENGINE,
        address(),
        "o1",
        3,
        PlacementAction.LOAD,
        Optional.of(new ModelId("m")),
        8,
        sendWithinMs);
  }

  private RequestInventory inventory() {
    return new RequestInventory(ENGINE, address(), QUERY);
  }

  private String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void respond(HttpExchange exchange) throws IOException {
    received.add(new String(exchange.getRequestBody().readAllBytes(), UTF_8));
    byte[] bytes = responseBody.getBytes(UTF_8);
    exchange.sendResponseHeaders(responseStatus, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static final class StubLog implements LogService {
    private volatile Optional<LogFailure> failure = Optional.empty();
    private volatile Envelope appended;

    @Override
    public long append(byte[] body) {
      if (failure.isPresent()) {
        throw new LogServiceException(failure.get(), "test", "failed", null);
      }
      appended = LogRecordCodec.decode(body);
      return 42;
    }

    @Override
    public Page read(long from, int max, int waitMs) {
      throw new UnsupportedOperationException();
    }
  }
}
