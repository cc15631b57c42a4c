package org.limpetdoor.core.config;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a number lies outside the accepted range of its field. */
public final class OutOfRangeException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String accepted;

  OutOfRangeException(String field, String value, String accepted) {
    super(field + " is " + value + ", expected " + accepted, null);
    this.field = field;
    this.accepted = accepted;
  }

  /** Returns the name of the field. */
  public String field() {
    return field;
  }

  /** Returns the accepted range as text. */
  public String accepted() {
    return accepted;
  }
}
