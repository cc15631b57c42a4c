package org.limpetdoor.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.DecodeTurns;
import org.limpetdoor.runtime.http.HeadMemory;
import org.limpetdoor.runtime.http.OverloadLog;
import org.limpetdoor.runtime.http.PacedHttpCodec;

/**
 * What the connections of callers share and compete for.
 *
 * @param memories memories of messages
 * @param turns turns in which connections are decoded
 * @param overloads log of what is refused
 */
record CallerBounds(BodyMemories memories, DecodeTurns turns, OverloadLog overloads) {
  /**
   * Returns the codec of one more connection.
   *
   * @param config limits on the length of a head
   */
  PacedHttpCodec codec(HttpDecoderConfig config) {
    return new PacedHttpCodec(config, new HeadMemory(memories.requests(), overloads), turns);
  }
}
