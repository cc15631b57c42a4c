package org.limpetdoor.entry.traffic;

/** How the answer of a back end is passed to the caller. */
public enum AnswerMode {
  /** Token by token, as server-sent events. */
  TOKEN_STREAM(true, false),
  /** As one JSON document of a model engine. */
  MODEL_DOCUMENT(false, false),
  /** As the plain service sent it, whatever its status. */
  SERVICE_ANSWER(false, true);

  private final boolean streamed;
  private final boolean errorsAreAnswers;

  AnswerMode(boolean streamed, boolean errorsAreAnswers) {
    this.streamed = streamed;
    this.errorsAreAnswers = errorsAreAnswers;
  }

  /** Returns whether parts of the answer are passed on as they arrive. */
  public boolean streamed() {
    return streamed;
  }

  /** Returns whether an answer with an error status is the answer to the caller as it is. */
  public boolean errorsAreAnswers() {
    return errorsAreAnswers;
  }
}
