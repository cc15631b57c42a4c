package org.limpetdoor.standin.service;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.limpetdoor.standin.FaultRequest;

/** HTTP interface of a plain service. */
@Controller
@Consumes(MediaType.ALL)
@Requires(property = "limpetdoor.role", value = "service")
final class ServiceController {
  private static final String ANY_PATH = "/{+path}";

  private final ServiceStandin standin;

  ServiceController(ServiceStandin standin) {
    this.standin = standin;
  }

  @Get("/executions")
  CompletableFuture<MutableHttpResponse<?>> executions(HttpRequest<?> request) {
    return standin.submit(request, ExecutionsRequested::new);
  }

  @Post("/faults")
  @Consumes(MediaType.APPLICATION_JSON)
  CompletableFuture<MutableHttpResponse<?>> fault(
      HttpRequest<?> request, @Body FaultRequest fault) {
    return standin.submitFault(request, fault, ServiceFault.class);
  }

  @Get(ANY_PATH)
  CompletableFuture<MutableHttpResponse<?>> get(HttpRequest<?> request, @Nullable String path) {
    return call(request, null);
  }

  @Delete(ANY_PATH)
  CompletableFuture<MutableHttpResponse<?>> delete(
      HttpRequest<?> request, @Nullable String path, @Body @Nullable byte[] body) {
    return call(request, body);
  }

  @Post(ANY_PATH)
  CompletableFuture<MutableHttpResponse<?>> post(
      HttpRequest<?> request, @Nullable String path, @Body @Nullable byte[] body) {
    return call(request, body);
  }

  @Put(ANY_PATH)
  CompletableFuture<MutableHttpResponse<?>> put(
      HttpRequest<?> request, @Nullable String path, @Body @Nullable byte[] body) {
    return call(request, body);
  }

  @Patch(ANY_PATH)
  CompletableFuture<MutableHttpResponse<?>> patch(
      HttpRequest<?> request, @Nullable String path, @Body @Nullable byte[] body) {
    return call(request, body);
  }

  private CompletableFuture<MutableHttpResponse<?>> call(HttpRequest<?> request, byte[] body) {
    String text = body == null ? "" : new String(body, StandardCharsets.UTF_8);
    String method = request.getMethodName();
    String path = request.getPath();
    return standin.submit(request, (id, atMs) -> new CallRequested(id, atMs, method, path, text));
  }
}
