package org.limpetdoor.core.gateway;

/**
 * Kinds of calls, which differ in whether they may be retried and how the response is delivered.
 */
public enum CallKind {
  /** May run more than once; the response is relayed once it is complete. */
  IDEMPOTENT(true, false),
  /** Runs at most once per attempt of the caller. */
  AT_MOST_ONCE(false, false),
  /** The response is a stream of numbered events, which are relayed as they arrive. */
  STREAM(false, true);

  private final boolean repeatable;
  private final boolean streamed;

  CallKind(boolean repeatable, boolean streamed) {
    this.repeatable = repeatable;
    this.streamed = streamed;
  }

  /** Returns whether a call that may have run may be sent again. */
  public boolean mayRepeat(boolean resumable) {
    return repeatable || (streamed && resumable);
  }

  /** Returns whether the response is relayed event by event. */
  public boolean streamed() {
    return streamed;
  }
}
