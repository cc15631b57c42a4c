package org.limpetdoor.standin.log;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.StandinEffect;

/** A request to append a record arrived. The body is encoded in base64. */
record AppendRequested(long replyId, long atMs, String stream, String body)
    implements StandinEvent<LogState> {
  @Override
  public Transition<LogState, StandinEffect> reduce(LogState state) {
    return state.append(replyId, stream, body, atMs);
  }
}
