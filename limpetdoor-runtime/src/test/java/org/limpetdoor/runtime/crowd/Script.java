package org.limpetdoor.runtime.crowd;

import java.nio.charset.StandardCharsets;

/**
 * What each connection of a crowd sends: a beginning once, then a block again and again.
 *
 * @param beginning text that is sent once
 * @param block text that is repeated
 * @param repetitions number of times that the block is sent, at least 0
 */
public record Script(String beginning, String block, long repetitions) {
  /** Number of repetitions that no connection reaches. */
  public static final long ENDLESS = Long.MAX_VALUE;

  /** Checks the number of repetitions. */
  public Script {
    if (repetitions < 0) {
      throw new IllegalArgumentException("repetitions is negative: " + repetitions);
    }
  }

  /** Returns a script without a beginning. */
  public static Script repeat(String block, long repetitions) {
    return new Script("", block, repetitions);
  }

  byte[] beginningBytes() {
    return beginning.getBytes(StandardCharsets.ISO_8859_1);
  }

  byte[] blockBytes() {
    return block.getBytes(StandardCharsets.ISO_8859_1);
  }
}
