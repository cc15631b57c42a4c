package org.limpetdoor.entry.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.runtime.decision.LogLine;

/** Polls the instance list. After a failure the last list stays in force. */
public final class InstanceListPoller {
  /** The list lags by about ten seconds, so more frequent polling gains little. */
  private static final long INTERVAL_MS = 3_000;

  /** Shorter than the interval, so that at most one call is open. */
  private static final Duration TIMEOUT = Duration.ofMillis(2_500);

  /** Zone and region of a listed instance that has none. */
  private static final String UNKNOWN = "unknown";

  private static final Logger LOG = System.getLogger(InstanceListPoller.class.getName());

  private final ControlClient client;
  private final String address;
  private final Consumer<Function<Long, Event>> events;

  private InstanceListPoller(
      ControlClient client, String address, Consumer<Function<Long, Event>> events) {
    this.client = client;
    this.address = address;
    this.events = events;
  }

  /**
   * Starts polling, which continues until the scheduler is shut down.
   *
   * @param address address of the instance list service
   * @param scheduler executor for polls
   * @param events receives an event as a function of its time in monotonic milliseconds
   */
  public static void start(
      HostPort address,
      ScheduledExecutorService scheduler,
      Consumer<Function<Long, Event>> events) {
    InstanceListPoller poller =
        new InstanceListPoller(new ControlClient(scheduler), address.toString(), events);
    scheduler.scheduleWithFixedDelay(poller::poll, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    client
        .get(address, "/instances", TIMEOUT)
        .thenApply(InstanceListPoller::parseInstances)
        .thenAccept(listed -> events.accept(atMs -> new InstancesListed(atMs, listed)))
        .exceptionally(this::pollFailed);
  }

  private Void pollFailed(Throwable failure) {
    LogLine line =
        LogLine.event("instance_list_failed").with("address", address).with("reason", failure);
    LOG.log(Level.WARNING, line.toString());
    return null;
  }

  private static List<ListedInstance> parseInstances(JsonNode response) {
    JsonNode entries = response.path("instances");
    if (!entries.isArray()) {
      throw new InvalidResponseException("instance list has no instances array", null);
    }
    List<ListedInstance> instances = new ArrayList<>();
    for (JsonNode entry : entries) {
      parseInstance(entry).ifPresent(instances::add);
    }
    return instances;
  }

  /** Parses an entry. A malformed one is logged and passed over; the others hold. */
  private static Optional<ListedInstance> parseInstance(JsonNode entry) {
    try {
      return Optional.of(
          new ListedInstance(
              new InstanceId(entry.path("name").asText()),
              HostPort.parse(entry.path("address").asText()).toString(),
              new ZoneId(entry.path("zone").asText(UNKNOWN)),
              entry.path("region").asText(UNKNOWN),
              entry.path("state").asText().equals("leaving")));
    } catch (LimpetdoorException e) {
      LogLine line = LogLine.event("instance_malformed").with("reason", e.getMessage());
      LOG.log(Level.WARNING, line.toString());
      return Optional.empty();
    }
  }
}
