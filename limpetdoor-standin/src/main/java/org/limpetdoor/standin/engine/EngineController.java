package org.limpetdoor.standin.engine;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.util.concurrent.CompletableFuture;
import org.limpetdoor.standin.FaultRequest;

/** HTTP interface of an engine. */
@Controller
@Requires(property = "limpetdoor.role", value = "engine")
final class EngineController {
  private final EngineStandin standin;

  EngineController(EngineStandin standin) {
    this.standin = standin;
  }

  @Post("/v1/chat/completions")
  CompletableFuture<MutableHttpResponse<?>> complete(
      HttpRequest<?> request,
      @Header(name = "Limpetdoor-Attempt", defaultValue = "") String attempt,
      @Header(name = "Limpetdoor-Priority", defaultValue = "0") int priority,
      @Header(name = "Limpetdoor-Resume-At", defaultValue = "0") int resumeAt,
      @Body CompletionRequest body) {
    int firstToken = Math.max(0, resumeAt);
    return standin
        .submit(
            request,
            (id, atMs) ->
                new EngineEvent.CompletionRequested(
                    atMs, body.toJob(id, attempt, priority, firstToken, standin.maxTokens())))
        .thenApply(
            response ->
                response
                    .header("Limpetdoor-Attempt", attempt)
                    .header("Limpetdoor-Resume-At", String.valueOf(firstToken)));
  }

  @Delete("/v1/attempts/{id}")
  CompletableFuture<MutableHttpResponse<?>> cancel(HttpRequest<?> request, String id) {
    return standin.submit(
        request, (exchangeId, atMs) -> new EngineEvent.CancelRequested(exchangeId, atMs, id));
  }

  @Put("/v1/attempts/{id}/priority")
  CompletableFuture<MutableHttpResponse<?>> changePriority(
      HttpRequest<?> request, String id, @Header(name = "Limpetdoor-Priority") int priority) {
    return standin.submit(
        request,
        (exchangeId, atMs) -> new EngineEvent.PriorityChanged(exchangeId, atMs, id, priority));
  }

  @Post("/control/orders")
  CompletableFuture<MutableHttpResponse<?>> order(HttpRequest<?> request, @Body Order order) {
    return standin.submit(request, (id, atMs) -> new EngineEvent.OrderReceived(id, atMs, order));
  }

  @Get("/control/inventory")
  CompletableFuture<MutableHttpResponse<?>> inventory(HttpRequest<?> request) {
    return standin.submit(request, EngineEvent.InventoryRequested::new);
  }

  @Get("/control/load")
  CompletableFuture<MutableHttpResponse<?>> load(HttpRequest<?> request) {
    return standin.submit(request, EngineEvent.LoadReportRequested::new);
  }

  @Get("/health")
  CompletableFuture<MutableHttpResponse<?>> health(HttpRequest<?> request) {
    return standin.submit(request, EngineEvent.HealthRequested::new);
  }

  @Post("/faults")
  CompletableFuture<MutableHttpResponse<?>> fault(
      HttpRequest<?> request, @Body FaultRequest fault) {
    return standin.submitFault(request, fault, EngineFault.class);
  }
}
