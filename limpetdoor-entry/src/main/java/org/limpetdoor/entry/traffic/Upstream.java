package org.limpetdoor.entry.traffic;

import io.micronaut.http.client.StreamingHttpClient;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.event.Event;

/**
 * What attempts need of the instance.
 *
 * @param client client for calls to back ends
 * @param scheduler runs timeouts
 * @param events where observations are reported
 */
record Upstream(
    StreamingHttpClient client,
    ScheduledExecutorService scheduler,
    Consumer<Function<Long, Event>> events) {
  void report(Function<Long, Event> event) {
    events.accept(event);
  }
}
