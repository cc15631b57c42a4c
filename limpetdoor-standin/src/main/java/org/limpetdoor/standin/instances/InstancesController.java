package org.limpetdoor.standin.instances;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Put;
import java.util.concurrent.CompletableFuture;

/** HTTP interface of the instance list. */
@Controller("/instances")
@Requires(property = "limpetdoor.role", value = "instances")
final class InstancesController {
  private final InstancesStandin standin;

  InstancesController(InstancesStandin standin) {
    this.standin = standin;
  }

  @Get
  CompletableFuture<MutableHttpResponse<?>> list(HttpRequest<?> request) {
    return standin.submit(request, ListRequested::new);
  }

  @Put
  CompletableFuture<MutableHttpResponse<?>> change(
      HttpRequest<?> request, @Body InstanceList list) {
    return standin.submit(request, (id, atMs) -> new ListChangeRequested(id, atMs, list));
  }
}
