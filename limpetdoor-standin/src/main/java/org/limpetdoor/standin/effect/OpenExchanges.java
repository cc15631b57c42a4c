package org.limpetdoor.standin.effect;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.sse.Event;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Registry of the open HTTP exchanges: requests that wait for a response or receive a stream.
 * Carries out the effects.
 */
public final class OpenExchanges implements StandinEffectHandler {
  // Micronaut's mapper omits empty lists, which the clients expect in these responses.
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Connections connections;
  private final LongConsumer onDisconnect;
  private final Map<Long, Exchange> exchanges = new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong(1);

  /**
   * Creates an empty registry.
   *
   * @param connections the connections of the server
   * @param onDisconnect called with the identifier of each open exchange whose connection was
   *     closed
   */
  public OpenExchanges(Connections connections, LongConsumer onDisconnect) {
    this.connections = connections;
    this.onDisconnect = onDisconnect;
  }

  /** Registers a request and returns the identifier of its exchange. */
  public long register(Channel channel, CompletableFuture<MutableHttpResponse<?>> response) {
    long id = nextId.getAndIncrement();
    GenericFutureListener<Future<? super Void>> listener = closed -> disconnected(id);
    exchanges.put(
        id,
        new Exchange(channel, response, Sinks.many().unicast().onBackpressureBuffer(), listener));
    channel.closeFuture().addListener(listener);
    return id;
  }

  @Override
  public void sendResponse(SendResponse effect) {
    Exchange exchange = remove(effect.exchangeId());
    if (exchange == null) {
      return;
    }
    MutableHttpResponse<?> response =
        HttpResponse.status(HttpStatus.valueOf(effect.status()))
            .contentType(MediaType.APPLICATION_JSON_TYPE)
            .body(json(effect.body()));
    effect.headers().forEach(response::header);
    exchange.response.complete(response);
  }

  @Override
  public void startStream(StartStream effect) {
    Exchange exchange = exchanges.get(effect.exchangeId());
    if (exchange == null) {
      return;
    }
    Flux<Event<String>> events = exchange.stream.asFlux().map(Event::of);
    MutableHttpResponse<?> response =
        HttpResponse.ok(events).contentType(MediaType.TEXT_EVENT_STREAM_TYPE);
    effect.headers().forEach(response::header);
    exchange.response.complete(response);
  }

  @Override
  public void sendChunk(SendChunk effect) {
    Exchange exchange = exchanges.get(effect.exchangeId());
    if (exchange != null) {
      exchange.stream.tryEmitNext(effect.data());
    }
  }

  @Override
  public void endStream(EndStream effect) {
    Exchange exchange = remove(effect.exchangeId());
    if (exchange != null) {
      exchange.stream.tryEmitComplete();
    }
  }

  @Override
  public void closeConnection(CloseConnection effect) {
    Exchange exchange = remove(effect.exchangeId());
    if (exchange != null) {
      exchange.channel.close();
    }
  }

  @Override
  public void closeAllConnections(CloseAllConnections effect) {
    connections.closeAll();
  }

  @Override
  public void acceptConnections(AcceptConnections effect) {
    connections.accept();
  }

  private static String json(Object body) {
    try {
      return MAPPER.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the response body cannot be written as JSON", e);
    }
  }

  private void disconnected(long id) {
    if (exchanges.remove(id) != null) {
      onDisconnect.accept(id);
    }
  }

  private Exchange remove(long id) {
    Exchange exchange = exchanges.remove(id);
    if (exchange != null) {
      // Without this, a keep-alive connection would accumulate one listener for each request.
      exchange.channel.closeFuture().removeListener(exchange.closeListener);
    }
    return exchange;
  }

  private record Exchange(
      Channel channel,
      CompletableFuture<MutableHttpResponse<?>> response,
      Sinks.Many<String> stream,
      GenericFutureListener<Future<? super Void>> closeListener) {}
}
