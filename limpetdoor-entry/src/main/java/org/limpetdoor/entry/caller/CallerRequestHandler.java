package org.limpetdoor.entry.caller;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.event.CallerDisconnected;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.id.InvalidNameException;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.core.request.Refusal;
import org.limpetdoor.core.request.RefusalReason;
import org.limpetdoor.core.request.RequestSpec;
import org.limpetdoor.core.request.Target.ServiceTarget;
import org.limpetdoor.entry.traffic.BackendCall;
import org.limpetdoor.entry.traffic.ForwardedHeaders;
import org.limpetdoor.entry.traffic.OpenRequest;
import org.limpetdoor.entry.traffic.OpenRequests;
import org.limpetdoor.entry.traffic.Problem;
import org.limpetdoor.entry.traffic.ResponseMode;
import org.limpetdoor.entry.traffic.ServedRequest;
import org.limpetdoor.runtime.MonotonicClock;

/** Registers requests of callers as open requests and submits the matching events. */
public final class CallerRequestHandler {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String SERVICES_PATH = "/services/";
  private static final String BEARER = "Bearer ";

  /**
   * Omits the Accept header: the HTTP client strips line ends from responses to requests that
   * accept event streams. The request body selects streaming.
   */
  private static final Map<String, List<String>> JSON_BODY =
      Map.of("Content-Type", List.of("application/json"));

  private static final int CHARS_PER_TOKEN = 4;

  private final RequestIdGenerator requestIds;
  private final OpenRequests requests;
  private final MonotonicClock clock;
  private final Consumer<Function<Long, Event>> events;

  /**
   * Creates a handler.
   *
   * @param self identity of the instance
   * @param requests registry of the open requests
   * @param clock clock of the control thread, in monotonic milliseconds
   * @param events receives an event as a function of its time in monotonic milliseconds
   */
  public CallerRequestHandler(
      Self self,
      OpenRequests requests,
      MonotonicClock clock,
      Consumer<Function<Long, Event>> events) {
    this.requestIds = new RequestIdGenerator(self);
    this.requests = requests;
    this.clock = clock;
    this.events = events;
  }

  /** Handles a chat completion request. */
  CompletableFuture<HttpResponse<?>> chat(HttpRequest<?> http, byte[] body) {
    KeyDigest key = keyDigest(http.getHeaders());
    ChatRequest chat = ChatRequest.parse(body);
    String targetLabel = chat.target().label();
    RequestSpec spec =
        new RequestSpec(
            requestIds.next(),
            key,
            chat.target(),
            idempotencyKey(http),
            estimateTokens(chat.prompt()),
            chat.maxTokens(),
            RequestHashes.prefixHash(targetLabel, chat.prompt()),
            RequestHashes.promptParts(chat.sharedMessages()),
            RequestHashes.fingerprint(targetLabel, body));
    ResponseMode mode = chat.stream() ? ResponseMode.TOKEN_STREAM : ResponseMode.MODEL_DOCUMENT;
    BackendCall call =
        new BackendCall(HttpMethod.POST, CHAT_PATH, JSON_BODY, Optional.of(body), mode);
    return openRequest(http, spec, call);
  }

  /** Handles a call of a plain service. */
  CompletableFuture<HttpResponse<?>> service(HttpRequest<?> http, String name, byte[] body) {
    KeyDigest key = keyDigest(http.getHeaders());
    URI uri = http.getUri();
    String path = servicePath(uri.getRawPath());
    ServiceTarget target = new ServiceTarget(serviceId(name), http.getMethodName(), path);
    RequestSpec spec =
        new RequestSpec(
            requestIds.next(),
            key,
            target,
            idempotencyKey(http),
            0,
            0,
            0,
            List.of(),
            RequestHashes.fingerprint(target.label() + http.getMethodName() + path, body));
    String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
    BackendCall call =
        new BackendCall(
            http.getMethod(),
            path + query,
            ForwardedHeaders.toService(http.getHeaders()),
            body.length == 0 ? Optional.empty() : Optional.of(body),
            ResponseMode.SERVICE_RESPONSE);
    return openRequest(http, spec, call);
  }

  private CompletableFuture<HttpResponse<?>> openRequest(
      HttpRequest<?> http, RequestSpec spec, BackendCall call) {
    OpenRequest request = new OpenRequest(spec, call, clock.nowMs(), requests);
    RequestId id = spec.id();
    if (!requests.open(request)) {
      Refusal refusal = Refusal.notRun(RefusalReason.SHUTTING_DOWN);
      request.refuse(Problem.of(refusal, spec.target().label()));
      return request.response();
    }
    request.onCallerDisconnected(() -> events.accept(atMs -> new CallerDisconnected(atMs, id)));
    watchConnection(http, request);
    events.accept(atMs -> new RequestArrived(atMs, spec));
    return request.response();
  }

  /**
   * Detects a caller that disconnects while its request is queued, when no response is written, and
   * lets the connection report when it writes the response.
   */
  private static void watchConnection(HttpRequest<?> http, OpenRequest request) {
    if (!(http instanceof NettyHttpRequest<?> netty)) {
      return;
    }
    Channel channel = netty.getChannelHandlerContext().channel();
    ServedRequest.set(channel, request);
    ChannelFutureListener listener = closed -> request.callerDisconnected();
    channel.closeFuture().addListener(listener);
    request.onClose(() -> channel.closeFuture().removeListener(listener));
  }

  private static int estimateTokens(String prompt) {
    return (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
  }

  private static KeyDigest keyDigest(HttpHeaders headers) {
    String value = headers.get(HttpHeaders.AUTHORIZATION);
    boolean bearer = value != null && value.regionMatches(true, 0, BEARER, 0, BEARER.length());
    if (!bearer) {
      throw InvalidRequestException.missingKey();
    }
    return RequestHashes.keyDigest(value.substring(BEARER.length()).strip());
  }

  private static Optional<String> idempotencyKey(HttpRequest<?> http) {
    return Optional.ofNullable(http.getHeaders().get("Idempotency-Key"))
        .filter(value -> !value.isBlank());
  }

  private static ServiceId serviceId(String name) {
    try {
      return new ServiceId(name);
    } catch (InvalidNameException e) {
      throw InvalidRequestException.invalidField("name", "the name of a plain service");
    }
  }

  private static String servicePath(String rawPath) {
    int slash = rawPath.indexOf('/', SERVICES_PATH.length());
    return slash < 0 ? "/" : rawPath.substring(slash);
  }
}
