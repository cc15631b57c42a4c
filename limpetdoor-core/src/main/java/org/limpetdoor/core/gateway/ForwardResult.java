package org.limpetdoor.core.gateway;

/** How an attempt of a forwarded call ended. */
public enum ForwardResult {
  /** The whole answer of the engine was passed on. */
  COMPLETED(true, Blame.NONE, false),
  /** The engine answered with a failure of its own, which is kept to be passed on. */
  ERROR_ANSWER(true, Blame.ERROR, true),
  /** No connection could be opened, so no byte was handed over. */
  CONNECT_FAILED(false, Blame.UNREACHABLE, true),
  /** The engine said that it is full, so it did not run the call. */
  BUSY(false, Blame.FULL, true),
  /** The engine at the address is another one, or does not hold the model; it did not run it. */
  MISDIRECTED(false, Blame.MISSING, true),
  /** The connection ended after the call was handed over and before the end of the answer. */
  CONNECTION_LOST(true, Blame.BROKEN, true),
  /** The bytes of the answer are no valid answer to the call. */
  INVALID_ANSWER(true, Blame.ERROR, true),
  /** The engine was silent for longer than expected, and the call goes on at another one. */
  SILENT(true, Blame.UNREACHABLE, true);

  /** What a result says about the engine. */
  public enum Blame {
    /** Nothing. */
    NONE,
    /** It fails requests. */
    ERROR,
    /** It cannot be reached. */
    UNREACHABLE,
    /** It has no room. */
    FULL,
    /** It does not hold what it was asked for. */
    MISSING,
    /** It broke off one connection. */
    BROKEN
  }

  private final boolean mayHaveRun;
  private final Blame blame;
  private final boolean failure;

  ForwardResult(boolean mayHaveRun, Blame blame, boolean failure) {
    this.mayHaveRun = mayHaveRun;
    this.blame = blame;
    this.failure = failure;
  }

  /** Returns whether the call may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns what the result says about the engine. */
  public Blame blame() {
    return blame;
  }

  /** Returns whether the answer is missing or a failure. */
  public boolean failure() {
    return failure;
  }
}
