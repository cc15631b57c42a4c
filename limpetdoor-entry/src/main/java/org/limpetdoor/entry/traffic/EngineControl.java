package org.limpetdoor.entry.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InventoryReported;
import org.limpetdoor.core.event.OrderAnswered;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.placement.InventoryModel;
import org.limpetdoor.core.placement.OrderAnswer;
import org.limpetdoor.runtime.decision.LogLine;

/** Sends orders to engines and requests their inventories. */
final class EngineControl {
  /** Allows large weights to load; the reducer treats an order unanswered until then as lost. */
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(60);

  /** The reducer repeats the request after two seconds if it still needs the inventory. */
  private static final Duration INVENTORY_TIMEOUT = Duration.ofSeconds(5);

  private static final Logger LOG = System.getLogger(EngineControl.class.getName());

  private final ControlClient client;
  private final Consumer<Function<Long, Event>> events;

  EngineControl(ControlClient client, Consumer<Function<Long, Event>> events) {
    this.client = client;
    this.events = events;
  }

  /**
   * Sends an order unless its send deadline has passed.
   *
   * @param receivedNanos value of {@link System#nanoTime()} at which the effect was received
   */
  void sendOrder(SendOrder effect, long receivedNanos) {
    long sendBeforeNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(effect.sendWithinMs());
    client
        .post(
            effect.address(),
            "/control/orders",
            orderDocument(effect),
            sendBeforeNanos,
            ORDER_TIMEOUT)
        .handle(
            (response, failure) ->
                failure == null ? orderAnswer(response) : orderUnanswered(effect, failure))
        .thenAccept(
            answer -> events.accept(atMs -> new OrderAnswered(atMs, effect.orderId(), answer)));
  }

  /** Requests an inventory. A failure is logged and submits no event. */
  CompletableFuture<Void> requestInventory(RequestInventory effect) {
    return client
        .get(effect.address(), "/control/inventory", INVENTORY_TIMEOUT)
        .thenApply(EngineControl::heldModels)
        .thenAccept(
            heldModels ->
                events.accept(
                    atMs ->
                        new InventoryReported(atMs, effect.engine(), effect.query(), heldModels)))
        .exceptionally(failure -> inventoryFailed(effect, failure));
  }

  /** Treats unrecognized results as unknown, since only known refusals rule out an effect. */
  private static OrderAnswer orderAnswer(JsonNode response) {
    return switch (response.path("result").asText()) {
      case "done" -> OrderAnswer.DONE;
      case "stale_fencing_number", "no_memory", "unknown_model", "model_in_use" ->
          OrderAnswer.REFUSED;
      default -> OrderAnswer.UNKNOWN;
    };
  }

  private static Map<String, Object> orderDocument(SendOrder effect) {
    Map<String, Object> document = new HashMap<>();
    document.put("orderId", effect.orderId());
    document.put("fencingNumber", effect.fencingNumber());
    document.put("action", effect.action().name().toLowerCase(Locale.ROOT));
    document.put("memoryMib", effect.memoryMib());
    effect.model().ifPresent(model -> document.put("model", model.value()));
    return document;
  }

  /** Treats models without a {@code ready} field as ready: such engines list ready models only. */
  private static List<InventoryModel> heldModels(JsonNode inventory) {
    JsonNode models = inventory.path("models");
    if (!models.isArray()) {
      throw new InvalidResponseException("inventory has no models array", null);
    }
    List<InventoryModel> heldModels = new ArrayList<>();
    for (JsonNode model : models) {
      JsonNode memoryMib = model.path("memoryMib");
      if (!memoryMib.canConvertToInt() || memoryMib.intValue() < 1) {
        throw new InvalidResponseException("memoryMib of a model is not a positive integer", null);
      }
      ModelId id = new ModelId(model.path("model").asText());
      heldModels.add(
          new InventoryModel(id, memoryMib.intValue(), model.path("ready").asBoolean(true)));
    }
    return heldModels;
  }

  private static OrderAnswer orderUnanswered(SendOrder effect, Throwable failure) {
    LogLine line =
        LogLine.event("order_unanswered")
            .with("engine", effect.engine())
            .with("order", effect.orderId())
            .with("reason", failure);
    LOG.log(Level.WARNING, line.toString());
    return OrderAnswer.UNKNOWN;
  }

  private static Void inventoryFailed(RequestInventory effect, Throwable failure) {
    LogLine line =
        LogLine.event("inventory_failed").with("engine", effect.engine()).with("reason", failure);
    LOG.log(Level.WARNING, line.toString());
    return null;
  }
}
