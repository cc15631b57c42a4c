package org.limpetdoor.entry.traffic;

import io.micronaut.http.client.RawHttpClient;
import io.micronaut.http.client.StreamingHttpClient;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.runtime.BodyMemory;

/**
 * Resources of the instance that attempts share.
 *
 * @param client client for streamed responses
 * @param rawClient client that sends bodies unchanged, whatever their content type
 * @param connections the connections of both clients
 * @param scheduler executor for timeouts
 * @param responseMemory memory for responses that are buffered
 * @param events receives an event as a function of its time in monotonic milliseconds
 */
record AttemptResources(
    StreamingHttpClient client,
    RawHttpClient rawClient,
    EngineConnections connections,
    ScheduledExecutorService scheduler,
    BodyMemory responseMemory,
    Consumer<Function<Long, Event>> events) {
  void report(Function<Long, Event> event) {
    events.accept(event);
  }
}
