package org.limpetdoor.standin.log;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.limpetdoor.standin.FaultRequest;

/** HTTP interface of the log service. */
@Controller
@Requires(property = "limpetdoor.role", value = "log")
final class LogController {
  private static final long MAX_WAIT_MS = 60_000;

  private final LogStandin standin;

  LogController(LogStandin standin) {
    this.standin = standin;
  }

  @Post("/streams/{name}/records")
  @Consumes(MediaType.APPLICATION_OCTET_STREAM)
  CompletableFuture<MutableHttpResponse<?>> append(
      HttpRequest<?> request, String name, @Body @Nullable byte[] body) {
    String encoded = LogStream.encode(body == null ? new byte[0] : body);
    return standin.submit(request, (id, atMs) -> new AppendRequested(id, atMs, name, encoded));
  }

  @Get("/streams/{name}/records")
  CompletableFuture<MutableHttpResponse<?>> read(
      HttpRequest<?> request,
      String name,
      @QueryValue(defaultValue = "0") long from,
      @QueryValue(defaultValue = "100") int max,
      @QueryValue(defaultValue = "0") long waitMs) {
    if (from < 0 || max < 1 || waitMs < 0 || waitMs > MAX_WAIT_MS) {
      String error = "accepted: from >= 0, max >= 1, waitMs from 0 to " + MAX_WAIT_MS;
      return CompletableFuture.completedFuture(HttpResponse.badRequest(Map.of("error", error)));
    }
    return standin.submit(
        request, (id, atMs) -> new ReadRequested(id, atMs, name, from, max, waitMs));
  }

  @Post("/faults")
  CompletableFuture<MutableHttpResponse<?>> fault(
      HttpRequest<?> request, @Body FaultRequest fault) {
    return standin.submitFault(request, fault, LogFault.class);
  }
}
