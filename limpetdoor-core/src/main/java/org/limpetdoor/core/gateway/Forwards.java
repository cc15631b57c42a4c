package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.effect.ForwardCall;

/** Sets the terms on which a call is sent to an engine. */
final class Forwards {
  /** Multiple of the expected latency after which a repeatable call is tried elsewhere. */
  private static final int SILENCE_FACTOR = 3;

  /** Shortest silence before the first event of a stream that speaks against an engine. */
  private static final long MIN_STREAM_SILENCE_MS = 1_400;

  /** Shortest silence before a whole answer that speaks against an engine, in milliseconds. */
  private static final long MIN_WHOLE_SILENCE_MS = 250;

  /** Multiple of the expected pause after which a stream is resumed elsewhere. */
  private static final int GAP_FACTOR = 5;

  private Forwards() {}

  static ForwardCall forward(NodeState node, Call call, EngineState engine) {
    Route route = call.route();
    boolean last = call.runs() + 1 >= route.maxAttempts() || !route.mayRepeat();
    long minMs = route.kind().streamed() ? MIN_STREAM_SILENCE_MS : MIN_WHOLE_SILENCE_MS;
    long silenceMs = Math.max(minMs, (long) SILENCE_FACTOR * route.targetLatencyMs());
    return new ForwardCall(
        call.spec().id(),
        call.active().orElseThrow().number(),
        engine.entry().id(),
        engine.entry().address(),
        call.expiresAtMs() - node.nowMs(),
        route.priority(),
        route.kind().streamed(),
        !route.mayRepeat(),
        last ? 0 : silenceMs,
        last ? 0 : (long) GAP_FACTOR * route.maxGapMs());
  }
}
