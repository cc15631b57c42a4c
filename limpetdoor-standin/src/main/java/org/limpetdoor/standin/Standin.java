package org.limpetdoor.standin;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.limpetdoor.runtime.ControlLoop;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.standin.effect.Connections;
import org.limpetdoor.standin.effect.OpenExchanges;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * Base class of stand-ins. Runs the control loop and keeps the open requests that its effects
 * answer.
 *
 * @param <S> state of the stand-in
 */
public abstract class Standin<S extends StandinState<S>> implements AutoCloseable {
  private final OpenExchanges exchanges;
  private final ControlLoop<S, StandinEvent<S>, StandinEffect> loop;

  protected Standin(String name, S initial, Connections connections) {
    exchanges = new OpenExchanges(connections, this::disconnected);
    loop =
        new ControlLoop<>(
            "standin-" + name,
            initial,
            new StandinReducer<>(),
            MonotonicClock.startingNow(),
            TimerFired::new,
            effect -> effect.applyTo(exchanges));
    loop.start();
  }

  /**
   * Submits the event of a request. The returned future completes when an effect sends the
   * response.
   */
  public CompletableFuture<MutableHttpResponse<?>> submit(
      HttpRequest<?> request, EventFactory<S> event) {
    CompletableFuture<MutableHttpResponse<?>> response = new CompletableFuture<>();
    long exchangeId = exchanges.register(channel(request), response);
    loop.submit(atMs -> event.create(exchangeId, atMs));
    return response;
  }

  /**
   * Submits a fault request. An unknown kind is answered with status 400 and the accepted kinds.
   */
  public <F extends Enum<F> & Fault<S>> CompletableFuture<MutableHttpResponse<?>> submitFault(
      HttpRequest<?> request, FaultRequest fault, Class<F> faults) {
    Optional<F> kind = Fault.find(faults, fault.kind());
    if (kind.isEmpty()) {
      return CompletableFuture.completedFuture(
          HttpResponse.badRequest(
              Map.of("error", "unknown fault kind", "accepted", Fault.names(faults))));
    }
    return submit(request, (id, atMs) -> new FaultRequested<>(id, atMs, kind.get(), fault));
  }

  /** Returns the event for a connection that was closed before its response was complete. */
  protected StandinEvent<S> disconnectedEvent(long exchangeId, long atMs) {
    return new TimerFired<>(atMs);
  }

  @Override
  public void close() {
    loop.close();
  }

  private void disconnected(long exchangeId) {
    loop.submit(atMs -> disconnectedEvent(exchangeId, atMs));
  }

  private static Channel channel(HttpRequest<?> request) {
    return ((NettyHttpRequest<?>) request).getChannelHandlerContext().channel();
  }

  /** Creates the event of a request. */
  @FunctionalInterface
  public interface EventFactory<S> {
    /** Returns the event for the given exchange identifier and time in monotonic milliseconds. */
    StandinEvent<S> create(long exchangeId, long atMs);
  }
}
