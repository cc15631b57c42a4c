package org.limpetdoor.entry.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.entry.traffic.Problem;

/** Endpoints for operators. */
@Controller
@Requires(property = "limpetdoor.role", value = "operator")
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
final class OperatorController {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int ACCEPTED = 202;
  private static final int UNAVAILABLE = 503;

  private final OperatorView view;
  private final DrainTrigger drain;

  OperatorController(OperatorView view, DrainTrigger drain) {
    this.view = view;
    this.drain = drain;
  }

  @Get("/health/live")
  HttpResponse<?> live() {
    return json(OK, Map.of("status", "up"));
  }

  @Get("/health/ready")
  HttpResponse<?> ready() {
    boolean ready = view.ready();
    return json(ready ? OK : UNAVAILABLE, Map.of("status", ready ? "up" : "down"));
  }

  @Get("/metrics")
  HttpResponse<?> metrics() {
    byte[] text = view.scrape().getBytes(StandardCharsets.UTF_8);
    return HttpResponse.ok(text).header("Content-Type", PROMETHEUS_TEXT);
  }

  @Get("/status")
  HttpResponse<?> status() {
    return json(OK, view.status());
  }

  @Get("/explain/{+requestId}")
  HttpResponse<?> explain(String requestId) {
    List<Map<String, String>> decisions = view.explain(requestId);
    if (decisions.isEmpty()) {
      String detail = "No kept decision is about this request";
      return Problem.of(NOT_FOUND, "unknown_request", detail, Outcome.NOT_RUN).toResponse();
    }
    return json(OK, Map.of("request", requestId, "decisions", decisions));
  }

  @Post("/drain")
  HttpResponse<?> drain() {
    drain.request();
    return json(ACCEPTED, Map.of("status", "draining"));
  }

  private static HttpResponse<?> json(int status, Object content) {
    try {
      return HttpResponse.<byte[]>status(io.micronaut.http.HttpStatus.valueOf(status))
          .contentType(MediaType.APPLICATION_JSON)
          .body(JSON.writeValueAsBytes(content));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("content cannot be serialized to JSON", e);
    }
  }
}
