package org.limpetdoor.entry.caller;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Options;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.Put;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.limpetdoor.entry.traffic.Problem;

/** Endpoints for callers. */
@Controller
@Requires(property = "limpetdoor.role", value = "caller")
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
final class CallerController {
  private static final String SERVICE = "/services/{name}";
  private static final String SERVICE_PATH = "/services/{name}/{+path}";

  private final CallerRequestHandler handler;

  CallerController(CallerRequestHandler handler) {
    this.handler = handler;
  }

  @Post("/v1/chat/completions")
  CompletableFuture<HttpResponse<?>> chat(HttpRequest<?> request, @Nullable @Body byte[] body) {
    return orProblem(() -> handler.chat(request, orEmpty(body)));
  }

  @Get(uris = {SERVICE, SERVICE_PATH})
  CompletableFuture<HttpResponse<?>> get(HttpRequest<?> request, String name) {
    return service(request, name, null);
  }

  @Post(uris = {SERVICE, SERVICE_PATH})
  CompletableFuture<HttpResponse<?>> post(
      HttpRequest<?> request, String name, @Nullable @Body byte[] body) {
    return service(request, name, body);
  }

  @Put(uris = {SERVICE, SERVICE_PATH})
  CompletableFuture<HttpResponse<?>> put(
      HttpRequest<?> request, String name, @Nullable @Body byte[] body) {
    return service(request, name, body);
  }

  @Patch(uris = {SERVICE, SERVICE_PATH})
  CompletableFuture<HttpResponse<?>> patch(
      HttpRequest<?> request, String name, @Nullable @Body byte[] body) {
    return service(request, name, body);
  }

  @Delete(uris = {SERVICE, SERVICE_PATH})
  CompletableFuture<HttpResponse<?>> delete(
      HttpRequest<?> request, String name, @Nullable @Body byte[] body) {
    return service(request, name, body);
  }

  @Options(uris = {SERVICE, SERVICE_PATH})
  CompletableFuture<HttpResponse<?>> options(HttpRequest<?> request, String name) {
    return service(request, name, null);
  }

  private CompletableFuture<HttpResponse<?>> service(
      HttpRequest<?> request, String name, byte[] body) {
    return orProblem(() -> handler.service(request, name, orEmpty(body)));
  }

  private static CompletableFuture<HttpResponse<?>> orProblem(
      Supplier<CompletableFuture<HttpResponse<?>>> call) {
    try {
      return call.get();
    } catch (InvalidRequestException e) {
      Problem problem = e.problem();
      return CompletableFuture.completedFuture(problem.toResponse());
    }
  }

  private static byte[] orEmpty(byte[] body) {
    return body == null ? new byte[0] : body;
  }
}
