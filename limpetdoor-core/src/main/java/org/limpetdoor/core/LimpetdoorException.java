package org.limpetdoor.core;

import java.util.Optional;

/**
 * Base class of all limpetdoor exceptions. It carries the location in the input that caused the
 * error, if any.
 */
public abstract class LimpetdoorException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient SourceLocation location;

  protected LimpetdoorException(String message, SourceLocation location) {
    super(location == null ? message : location + ": " + message);
    this.location = location;
  }

  protected LimpetdoorException(String message, SourceLocation location, Throwable cause) {
    super(location == null ? message : location + ": " + message, cause);
    this.location = location;
  }

  /** Returns the location in the input that caused the exception, if known. */
  public Optional<SourceLocation> location() {
    return Optional.ofNullable(location);
  }
}
