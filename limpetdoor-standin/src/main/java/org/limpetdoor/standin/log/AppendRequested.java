package org.limpetdoor.standin.log;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.StandinEffect;

/** A record arrived; the body is in base64. */
record AppendRequested(long replyId, long atMs, String stream, String body)
    implements StandinEvent<LogState> {
  @Override
  public Transition<LogState, StandinEffect> reduce(LogState state) {
    return state.append(replyId, stream, body, atMs);
  }
}
