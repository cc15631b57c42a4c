package org.limpetdoor.core.request;

/** Kinds of status codes in the responses that this product receives. */
public enum StatusKind {
  /** The response is followed by another one to the same request. */
  INTERIM(100, 199),
  /** The response is the last one to its request. */
  FINAL(200, 599),
  /** HTTP defines no such status, or it was not asked for; the bytes are no response. */
  INVALID(0, -1);

  /** Changes the protocol of the connection, which no request of this product asks for. */
  private static final int SWITCHING_PROTOCOLS = 101;

  private static final int DIGITS = 3;

  private final int min;
  private final int max;

  StatusKind(int min, int max) {
    this.min = min;
    this.max = max;
  }

  /** Returns the kind of a status code. */
  public static StatusKind of(int code) {
    if (code == SWITCHING_PROTOCOLS) {
      return INVALID;
    }
    return INTERIM.includes(code) ? INTERIM : FINAL.includes(code) ? FINAL : INVALID;
  }

  /** Returns the kind of a status code as it is in a status line, which has exactly 3 digits. */
  public static StatusKind of(String code) {
    boolean wellFormed =
        code.length() == DIGITS && code.chars().allMatch(c -> c >= '0' && c <= '9');
    return wellFormed ? of(Integer.parseInt(code)) : INVALID;
  }

  private boolean includes(int code) {
    return code >= min && code <= max;
  }
}
