package org.limpetdoor.core.gateway;

import java.util.List;

/**
 * What an instance tells its peers about a content that may crash engines. Times are relative,
 * because the clocks of instances are not synchronized.
 *
 * @param content hash of the content: a prompt part or a whole request
 * @param losses losses of engines that began to run a call with the content, in order
 * @param doubtful whether engines have answered calls with the content lately, or may not have read
 *     it when they were lost
 * @param answeredAgeMs time since the last answer that cancelled losses, in milliseconds, or {@link
 *     #NOT_ANSWERED}
 */
public record CrashReport(long content, List<Loss> losses, boolean doubtful, long answeredAgeMs) {
  /** Stands for the age of an answer that the sender does not know of. */
  public static final long NOT_ANSWERED = -1;

  /** Copies the losses. */
  public CrashReport {
    losses = List.copyOf(losses);
  }

  /**
   * Loss of the connection to an engine.
   *
   * @param id identifier of the attempt
   * @param sentAgeMs time since the call was sent, in milliseconds
   * @param lostAgeMs time since the connection was lost, in milliseconds
   */
  public record Loss(long id, long sentAgeMs, long lostAgeMs) {}
}
