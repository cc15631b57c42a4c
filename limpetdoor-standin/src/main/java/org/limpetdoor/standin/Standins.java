package org.limpetdoor.standin;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.Map;
import org.limpetdoor.standin.effect.Connections;

/** Starts stand-ins. Several can run in one process. */
public final class Standins {
  // Two threads suffice for one stand-in; the default is two per processor in each context.
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int FREE_PORT = -1;
  // The default of 5 minutes would close connections on which a fault suppresses all traffic.
  private static final String IDLE_TIMEOUT = "24h";

  private Standins() {}

  /** Starts a stand-in with its own application context and port. */
  public static RunningStandin start(StandinSettings settings) {
    ListenAddress address = settings.address();
    ApplicationContext context =
        ApplicationContext.builder()
            .banner(false)
            .deduceEnvironment(false)
            .properties(
                Map.of(
                    "limpetdoor.role",
                    settings.role().settingsName(),
                    "micronaut.server.host",
                    address.host(),
                    "micronaut.server.port",
                    address.port() == 0 ? FREE_PORT : address.port(),
                    "micronaut.server.idle-timeout",
                    IDLE_TIMEOUT,
                    "micronaut.netty.event-loops.default.num-threads",
                    EVENT_LOOP_THREADS))
            .start();
    try {
      return start(settings, context);
    } catch (RuntimeException e) {
      context.close();
      throw e;
    }
  }

  private static RunningStandin start(StandinSettings settings, ApplicationContext context) {
    Standin<?> standin = settings.role().create(settings, context.getBean(Connections.class));
    register(context, standin);
    EmbeddedServer server = context.getBean(EmbeddedServer.class).start();
    return new RunningStandin(
        context, standin, new ListenAddress(settings.address().host(), server.getPort()));
  }

  @SuppressWarnings("unchecked")
  private static <T> void register(ApplicationContext context, T standin) {
    context.registerSingleton((Class<T>) standin.getClass(), standin);
  }
}
