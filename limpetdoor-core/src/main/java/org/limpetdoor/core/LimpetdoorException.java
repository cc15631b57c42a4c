package org.limpetdoor.core;

import java.util.Optional;

/**
 * Root of all exceptions of limpetdoor. It carries the place in the input that caused it, if there
 * is one.
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

  /** Returns the place in the input that caused the exception, if known. */
  public Optional<SourceLocation> location() {
    return Optional.ofNullable(location);
  }
}
