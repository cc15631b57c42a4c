package org.limpetdoor.entry;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.limits.ConnectionThreshold;
import org.limpetdoor.entry.caller.CallerRequestHandler;
import org.limpetdoor.entry.operator.DrainTrigger;
import org.limpetdoor.entry.operator.OperatorView;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.ConnectionCapacity;

/** An HTTP server with its own bean context, so that no other server exposes its routes. */
final class HttpListener implements AutoCloseable {
  private static final String ROLE = "limpetdoor.role";
  private static final int CALLER_THREADS = 4;
  private static final int OPERATOR_THREADS = 1;

  /** Requests to operator endpoints have no body. */
  private static final int OPERATOR_BODY_BYTES = 16 * 1024;

  private final ApplicationContext context;
  private final HostPort address;

  private HttpListener(ApplicationContext context, HostPort requestedAddress) {
    this.context = context;
    EmbeddedServer server = context.getBean(EmbeddedServer.class).start();
    this.address = new HostPort(requestedAddress.host(), server.getPort());
  }

  static HttpListener callers(
      InstanceSettings settings,
      CallerRequestHandler handler,
      BodyMemories memories,
      Consumer<OverloadReason> overload) {
    Map<String, Object> properties =
        properties("caller", settings.callerAddress(), settings, CALLER_THREADS);
    properties.put("micronaut.server.max-request-size", settings.maxBodyBytes());
    properties.put("micronaut.server.max-request-buffer-size", settings.maxBodyBytes());
    ConnectionThreshold connections =
        ConnectionCapacity.ofCallers().atMost(settings.maxConnections());
    ListenerBounds bounds =
        new ListenerBounds(
            connections, settings.maxHeaderBytes(), settings.maxBodyBytes(), memories, overload);
    return start(properties, settings.callerAddress(), bounds, handler);
  }

  static HttpListener operators(
      InstanceSettings settings,
      OperatorView view,
      DrainTrigger drain,
      BodyMemories memories,
      Consumer<OverloadReason> overload) {
    Map<String, Object> properties =
        properties("operator", settings.operatorAddress(), settings, OPERATOR_THREADS);
    properties.put("micronaut.server.max-request-size", OPERATOR_BODY_BYTES);
    ListenerBounds bounds =
        new ListenerBounds(
            ConnectionCapacity.ofMonitoring(),
            settings.maxHeaderBytes(),
            OPERATOR_BODY_BYTES,
            memories,
            overload);
    return start(properties, settings.operatorAddress(), bounds, view, drain);
  }

  HostPort address() {
    return address;
  }

  @Override
  public void close() {
    context.close();
  }

  private static HttpListener start(
      Map<String, Object> properties, HostPort requestedAddress, Object... singletons) {
    ApplicationContext context =
        ApplicationContext.builder()
            .properties(properties)
            .singletons(singletons)
            .deduceEnvironment(false)
            .environmentPropertySource(false)
            .banner(false)
            .start();
    try {
      return new HttpListener(context, requestedAddress);
    } catch (RuntimeException e) {
      context.close();
      throw new ListenerFailedException(String.valueOf(properties.get(ROLE)), requestedAddress, e);
    }
  }

  /** Builds the complete server configuration; environment variables are not read. */
  private static Map<String, Object> properties(
      String role, HostPort address, InstanceSettings settings, int threads) {
    Map<String, Object> properties = new HashMap<>();
    properties.put(ROLE, role);
    properties.put(EntryServer.ROLE_PROPERTY, role);
    properties.put("micronaut.server.host", address.host().replaceAll("[\\[\\]]", ""));
    properties.put("micronaut.server.port", address.port() == 0 ? -1 : address.port());
    properties.put("micronaut.server.netty.max-header-size", settings.maxHeaderBytes());
    properties.put("micronaut.netty.event-loops.default.num-threads", threads);
    properties.put("micronaut.metrics.enabled", false);
    return properties;
  }
}
