package org.limpetdoor.core.backend;

import java.util.List;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Shared parts of prompts that engines have answered lately. They are kept in two generations, so
 * that old ones are dropped without a time for each.
 *
 * @param recent parts answered since the last change of generations
 * @param earlier parts answered in the generation before
 * @param changedAtMs time of the last change of generations, in monotonic milliseconds
 */
public record AnsweredPromptParts(PSet<Long> recent, PSet<Long> earlier, long changedAtMs) {
  /** No parts. */
  public static final AnsweredPromptParts NONE =
      new AnsweredPromptParts(HashTreePSet.empty(), HashTreePSet.empty(), 0);

  /**
   * Time from the first event of an answer after which it shows that the parts of its prompt do not
   * crash engines, in milliseconds. An engine that crashes on a part may have sent events before; a
   * longer time would let sound parts be suspected whose engines are crashed by others.
   */
  private static final long SOUND_AFTER_MS = 500;

  /** Age of a generation, in milliseconds. */
  private static final long GENERATION_MS = 60_000;

  /** Bounds the memory; a generation that is full ends early. */
  private static final int MAX_PARTS = 4_096;

  /**
   * Returns whether an answer that is in progress shows that the parts of its prompt do not crash
   * engines.
   *
   * @param startedAtMs time of its first event, in monotonic milliseconds
   */
  public static boolean isSoundAnswer(long startedAtMs, long nowMs) {
    return nowMs - startedAtMs >= SOUND_AFTER_MS;
  }

  /**
   * Returns the prompt parts that are suspected if an engine crashes on the prompt: those that no
   * engine has answered lately, or else all of them. A part that crashes engines comes together
   * with sound ones.
   */
  public List<Long> suspectedOf(List<Long> promptParts) {
    List<Long> unanswered = promptParts.stream().filter(part -> !contains(part)).toList();
    return unanswered.isEmpty() ? promptParts : unanswered;
  }

  /** Returns whether engines have answered a prompt with the part lately. */
  public boolean contains(long part) {
    return recent.contains(part) || earlier.contains(part);
  }

  /** Returns a copy with a part that an engine has answered. */
  public AnsweredPromptParts with(long part, long nowMs) {
    if (recent.contains(part)) {
      return this;
    }
    boolean ended = recent.size() >= MAX_PARTS || nowMs - changedAtMs > GENERATION_MS;
    return ended
        ? new AnsweredPromptParts(HashTreePSet.singleton(part), recent, nowMs)
        : new AnsweredPromptParts(recent.plus(part), earlier, changedAtMs);
  }
}
