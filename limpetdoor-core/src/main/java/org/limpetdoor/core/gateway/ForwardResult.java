package org.limpetdoor.core.gateway;

/** Results of an attempt to forward a call to an engine. */
public enum ForwardResult {
  /** The complete response of the engine was relayed. */
  COMPLETED(true, EngineFailure.NONE, false),
  /** The engine sent an error response, which is stored and relayed if the call is not retried. */
  ERROR_ANSWER(true, EngineFailure.ERROR, true),
  /** No connection could be opened, so nothing was sent. */
  CONNECT_FAILED(false, EngineFailure.UNREACHABLE, true),
  /** The deadline of the caller passed before the request was written, so nothing was sent. */
  DEADLINE_PASSED(false, EngineFailure.NONE, true),
  /**
   * The engine stated, after the decision to send the call, that it accepts no requests for a
   * while, so nothing was sent.
   */
  ENGINE_CLOSED(false, EngineFailure.FULL, true),
  /** The engine reported that it is full and did not run the call. */
  BUSY(false, EngineFailure.FULL, true),
  /**
   * The engine at the address is a different one or does not have the model loaded, and did not run
   * the call.
   */
  MISDIRECTED(false, EngineFailure.MISSING, true),
  /** The connection was lost after the call was sent and before the end of the response. */
  CONNECTION_LOST(true, EngineFailure.BROKEN, true),
  /**
   * The connection was lost while the request was still being written. The engine may have run the
   * call, but had not accepted all of it.
   */
  REQUEST_CUT(true, EngineFailure.BROKEN, true),
  /** The engine's response is malformed, too large or unsigned. */
  INVALID_ANSWER(true, EngineFailure.ERROR, true),
  /** Too many long responses were being received, and there was no memory for the rest of it. */
  NO_MEMORY(true, EngineFailure.NONE, true),
  /** The engine was silent for too long, and the call is moved to another engine. */
  SILENT(true, EngineFailure.UNREACHABLE, true);

  /** Kinds of engine failure that a result is evidence of. */
  public enum EngineFailure {
    /** No failure of the engine. */
    NONE,
    /** The engine fails requests. */
    ERROR,
    /** The engine is unreachable. */
    UNREACHABLE,
    /** The engine has no free slots. */
    FULL,
    /** The engine does not have the requested model or adapter. */
    MISSING,
    /** The engine dropped a single connection. */
    BROKEN
  }

  private final boolean mayHaveRun;
  private final EngineFailure engineFailure;
  private final boolean failure;

  ForwardResult(boolean mayHaveRun, EngineFailure engineFailure, boolean failure) {
    this.mayHaveRun = mayHaveRun;
    this.engineFailure = engineFailure;
    this.failure = failure;
  }

  /** Returns whether the engine may have run the call. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the request was sent, so that it was work for the engine. */
  public boolean sent() {
    return switch (this) {
      case CONNECT_FAILED, DEADLINE_PASSED, ENGINE_CLOSED -> false;
      default -> true;
    };
  }

  /** Returns whether the engine has responded or closed a connection, so that it is not silent. */
  public boolean responded() {
    return switch (this) {
      case CONNECT_FAILED, DEADLINE_PASSED, ENGINE_CLOSED, SILENT -> false;
      default -> true;
    };
  }

  /** Returns the kind of engine failure that the result is evidence of. */
  public EngineFailure engineFailure() {
    return engineFailure;
  }

  /** Returns whether the attempt produced no response or an error. */
  public boolean failure() {
    return failure;
  }
}
