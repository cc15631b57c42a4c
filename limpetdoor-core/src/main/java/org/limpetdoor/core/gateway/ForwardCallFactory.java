package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.effect.ForwardCall;

/** Builds the effects that send calls to engines. */
final class ForwardCallFactory {
  /** Multiple of the target latency after which a repeatable call is moved to another engine. */
  private static final int SILENCE_FACTOR = 3;

  /** Lower bound on the silence timeout before the first event of a stream, in milliseconds. */
  private static final long MIN_STREAM_SILENCE_MS = 1_400;

  /** Lower bound on the silence timeout before a response that is not streamed, in milliseconds. */
  private static final long MIN_RESPONSE_SILENCE_MS = 250;

  /** Multiple of the route's event gap after which a stream is resumed at another engine. */
  private static final int GAP_FACTOR = 5;

  private ForwardCallFactory() {}

  static ForwardCall create(NodeState node, Call call, EngineState engine) {
    Route route = call.route();
    boolean lastAttempt = call.ranAt().size() + 1 >= route.maxAttempts() || !route.mayRepeat();
    long minSilenceMs = route.kind().streamed() ? MIN_STREAM_SILENCE_MS : MIN_RESPONSE_SILENCE_MS;
    long silenceMs = Math.max(minSilenceMs, (long) SILENCE_FACTOR * route.targetLatencyMs());
    return new ForwardCall(
        call.spec().id(),
        call.activeAttempt().orElseThrow().number(),
        engine.entry().id(),
        engine.entry().startedAtMs(),
        engine.entry().address(),
        call.deadlineMs() - node.nowMs(),
        call.deadlineMs(),
        call.priority(),
        route.kind().streamed(),
        !route.mayRepeat(),
        lastAttempt ? 0 : silenceMs,
        lastAttempt ? 0 : (long) GAP_FACTOR * route.maxGapMs(),
        call.caller());
  }
}
