package org.limpetdoor.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.limpetdoor.core.decision.ConnectionCloseReason;
import org.limpetdoor.core.effect.AbortCall;
import org.limpetdoor.core.effect.AdoptStoreEra;
import org.limpetdoor.core.effect.ApplyCallerLimits;
import org.limpetdoor.core.effect.CancelForward;
import org.limpetdoor.core.effect.FollowStore;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.GatewayEffect;
import org.limpetdoor.core.effect.GatewayEffectHandler;
import org.limpetdoor.core.effect.InspectEngine;
import org.limpetdoor.core.effect.RelayErrorResponse;
import org.limpetdoor.core.effect.ReleaseDuty;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.effect.RequestDuty;
import org.limpetdoor.core.effect.SendEngineOrder;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineOrderEnded;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.gateway.CallSpec;
import org.limpetdoor.core.gateway.EngineOrder;
import org.limpetdoor.core.gateway.EngineOrderResult;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.core.limits.DecodeBudget;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.DecodeTurns;
import org.limpetdoor.runtime.http.OverloadLog;

/**
 * Holds the open calls and their connections, and executes the effects on them. All methods except
 * {@link #apply} and {@link #beginDrain} run on the traffic thread.
 */
final class GatewayTraffic implements GatewayEffectHandler, EngineAttempt.EventSink {
  private static final long CLEANUP_INTERVAL_MS = 1_000;

  /** Time for which the pace of an engine without streams is retained, in milliseconds. */
  private static final long PACE_RETENTION_MS = 10_000;

  private final EventLoop loop;
  private final CallProtocol protocol;
  private final EngineClient engineClient;
  private final DutyClient dutyClient;
  private final StoreFollower storeFollower;
  private final MonotonicClock clock;
  private final ReadTimes readTimes;
  private final EngineAttempt.EventSink eventSink;
  private final EngineNotices notices;
  private final EngineConnectionPool pool;
  private final PaceMeter paceMeter;
  private final CallerBounds bounds;
  private final Map<Long, OpenCall> calls = new HashMap<>();
  private final Set<CallerChannel> callers = new LinkedHashSet<>();
  private CallerLimits callerLimits = CallerLimits.DEFAULT;
  private long nextCallId = 1;
  private boolean draining;

  GatewayTraffic(
      EventLoop loop,
      CallProtocol protocol,
      EngineClient engineClient,
      DutyClient dutyClient,
      StoreFollower storeFollower,
      MonotonicClock clock,
      ReadTimes readTimes,
      BodyMemories memories,
      OverloadLog overloads,
      EngineAttempt.EventSink eventSink) {
    this.loop = loop;
    this.protocol = protocol;
    this.engineClient = engineClient;
    this.dutyClient = dutyClient;
    this.storeFollower = storeFollower;
    this.clock = clock;
    this.readTimes = readTimes;
    this.eventSink = eventSink;
    this.notices = new EngineNotices(clock, this);
    this.pool = new EngineConnectionPool(loop, readTimes, protocol, notices);
    this.paceMeter = new PaceMeter(this);
    this.bounds =
        new CallerBounds(memories, new DecodeTurns(loop, DecodeBudget.DEFAULT), overloads);
    loop.scheduleWithFixedDelay(
        this::cleanUp, CLEANUP_INTERVAL_MS, CLEANUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Executes an effect on the traffic thread. */
  void apply(GatewayEffect effect) {
    loop.execute(
        () -> {
          readTimes.recordWork();
          effect.applyTo(this);
        });
  }

  /** Closes idle connections now and the others after their next response. */
  void beginDrain() {
    loop.execute(
        () -> {
          draining = true;
          closeCallers(ConnectionCloseReason.DRAIN);
        });
  }

  boolean draining() {
    return draining;
  }

  CallerLimits callerLimits() {
    return callerLimits;
  }

  /** Called when a connection of a caller has received something. */
  void recordRead() {
    readTimes.recordWork();
  }

  /** Opens a call for a request that has been received completely. */
  OpenCall openCall(HttpRequest head, byte[] body, CallerChannel caller) {
    CallSpec spec = protocol.parseCall(nextCallId++, head, body);
    OpenCall call = new OpenCall(spec, head, body, caller, protocol.attemptId(head.headers()));
    calls.put(call.spec().id(), call);
    long receivedAtMs = readTimes.earliestArrivalMs();
    submit(atMs -> new CallArrived(atMs, call.spec(), receivedAtMs));
    return call;
  }

  Optional<OpenCall> removeCall(long id) {
    Optional<OpenCall> removed = Optional.ofNullable(calls.remove(id));
    removed.ifPresent(OpenCall::close);
    return removed;
  }

  /** Returns the bounds on the connections of callers. */
  CallerBounds bounds() {
    return bounds;
  }

  void callerConnected(CallerChannel caller) {
    callers.add(caller);
  }

  void callerDisconnected(CallerChannel caller) {
    callers.remove(caller);
  }

  void callerWritabilityChanged(OpenCall call, boolean writable) {
    call.callerWritabilityChanged(writable);
  }

  @Override
  public void submit(Function<Long, Event> event) {
    eventSink.submit(event);
  }

  /**
   * Sends a call to an engine. A busy thread polls its sockets first, since the caller may have
   * disconnected meanwhile.
   */
  @Override
  public void forwardCall(ForwardCall effect) {
    readTimes.runWithRecentInput(loop, () -> sendIfConnected(effect));
  }

  private void sendIfConnected(ForwardCall effect) {
    OpenCall call = calls.get(effect.call());
    // The event that cancels the call of a closed connection may still wait in the queue.
    if (call == null || !call.caller().isConnected()) {
      return;
    }
    EngineAttempt attempt =
        new EngineAttempt(
            effect, call, protocol, this, loop, paceMeter, clock, bounds.memories().responses());
    call.attemptStarted(attempt);
    pool.send(attempt);
  }

  @Override
  public void cancelForward(CancelForward effect) {
    attempt(effect.call(), effect.attempt()).ifPresent(EngineAttempt::cancel);
  }

  @Override
  public void relayErrorResponse(RelayErrorResponse effect) {
    OpenCall call = calls.get(effect.call());
    if (call == null) {
      return;
    }
    Optional<EngineAttempt> errorResponseAttempt = call.errorResponseAttempt(effect.attempt());
    if (call.headSent() || errorResponseAttempt.isEmpty()) {
      removeCall(effect.call());
      call.caller().abort();
      return;
    }
    call.caller()
        .writeResponse(
            errorResponseAttempt.get().responseHead(), errorResponseAttempt.get().responseBody());
  }

  @Override
  public void replyToCall(ReplyToCall effect) {
    OpenCall call = calls.get(effect.call());
    if (call == null) {
      return;
    }
    // The decision may be older than the first event that was relayed.
    if (call.headSent()) {
      abortCall(new AbortCall(effect.call()));
      return;
    }
    call.caller().reply(effect.reply(), effect.retryAfterMs());
  }

  @Override
  public void abortCall(AbortCall effect) {
    removeCall(effect.call()).ifPresent(call -> call.caller().abort());
  }

  @Override
  public void requestDuty(RequestDuty effect) {
    long requestedAtMs = clock.nowMs();
    dutyClient
        .request(effect.generation(), effect.ttlMs())
        .thenAccept(
            dutyResponse ->
                dutyResponse.ifPresent(
                    response ->
                        submit(
                            atMs ->
                                new DutyAnswered(
                                    atMs,
                                    requestedAtMs,
                                    response.era(),
                                    response.generation(),
                                    response.held()))));
  }

  @Override
  public void releaseDuty(ReleaseDuty effect) {
    dutyClient.release();
  }

  @Override
  public void sendEngineOrder(SendEngineOrder effect) {
    if (notices.isClosed(effect.order().engine(), effect.startedAtMs())) {
      orderEnded(effect.order(), EngineOrderResult.REFUSED);
      return;
    }
    engineClient
        .sendOrder(effect.order(), effect.address())
        .thenAccept(
            response -> {
              notices.received(effect.order().engine(), effect.startedAtMs(), response.notice());
              orderEnded(effect.order(), response.content());
            });
  }

  private void orderEnded(EngineOrder order, EngineOrderResult result) {
    submit(atMs -> new EngineOrderEnded(atMs, order.engine(), order.number(), result));
  }

  @Override
  public void inspectEngine(InspectEngine effect) {
    if (notices.isClosed(effect.engine(), effect.startedAtMs())) {
      submit(atMs -> new EngineInspected(atMs, effect.engine(), Optional.empty()));
      return;
    }
    engineClient
        .requestInventory(effect.engine().value(), effect.address())
        .thenAccept(
            response -> {
              notices.received(effect.engine(), effect.startedAtMs(), response.notice());
              submit(atMs -> new EngineInspected(atMs, effect.engine(), response.content()));
            });
  }

  @Override
  public void applyCallerLimits(ApplyCallerLimits effect) {
    callerLimits = effect.limits();
  }

  @Override
  public void followStore(FollowStore effect) {
    if (effect.started()) {
      storeFollower.follow(effect.engineIntervalMs());
    } else {
      storeFollower.stop();
    }
  }

  @Override
  public void adoptStoreEra(AdoptStoreEra effect) {
    storeFollower.adoptEra(effect.era());
  }

  /** Closes the connections of callers: all of them when the process ends, else only idle ones. */
  void closeCallers(ConnectionCloseReason reason) {
    for (CallerChannel caller : Set.copyOf(callers)) {
      if (reason == ConnectionCloseReason.STOP || caller.isIdle()) {
        caller.close(reason);
      }
    }
  }

  private Optional<EngineAttempt> attempt(long id, int number) {
    return Optional.ofNullable(calls.get(id)).flatMap(call -> call.attempt(number));
  }

  private void cleanUp() {
    paceMeter.removeOlderThan(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(PACE_RETENTION_MS));
    notices.removeEnded();
    bounds.overloads().flush();
    closeStalledCallers();
  }

  void closeStalledCallers() {
    for (CallerChannel caller : Set.copyOf(callers)) {
      caller.closeIfStalled();
    }
  }
}
