package org.limpetdoor.entry.traffic;

/** How the response of a back end is relayed to the caller. */
public enum ResponseMode {
  /** Relays tokens as server-sent events as they arrive. */
  TOKEN_STREAM(true, false),
  /** Relays the JSON document of a model engine as a whole. */
  MODEL_DOCUMENT(false, false),
  /** Relays the response of a plain service unchanged, whatever its status. */
  SERVICE_RESPONSE(false, true);

  private final boolean streamed;
  private final boolean relaysErrorResponses;

  ResponseMode(boolean streamed, boolean relaysErrorResponses) {
    this.streamed = streamed;
    this.relaysErrorResponses = relaysErrorResponses;
  }

  /** Returns whether parts of the response are relayed as they arrive. */
  public boolean streamed() {
    return streamed;
  }

  /** Returns whether a response with an error status is relayed unchanged. */
  public boolean relaysErrorResponses() {
    return relaysErrorResponses;
  }
}
