package org.limpetdoor.standin.weights;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import java.util.concurrent.CompletableFuture;

/** HTTP interface of the weight store. */
@Controller
@Requires(property = "limpetdoor.role", value = "weights")
final class WeightsController {
  private final WeightsStandin standin;

  WeightsController(WeightsStandin standin) {
    this.standin = standin;
  }

  @Post("/loads")
  CompletableFuture<MutableHttpResponse<?>> load(HttpRequest<?> request, @Body LoadRequest load) {
    return standin.submit(request, (id, atMs) -> new LoadRequested(id, atMs, load));
  }
}
