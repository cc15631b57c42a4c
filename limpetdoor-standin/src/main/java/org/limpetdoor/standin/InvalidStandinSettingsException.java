package org.limpetdoor.standin;

import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;

/** Thrown when settings cannot be read. The message gives the position and the accepted form. */
public final class InvalidStandinSettingsException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  InvalidStandinSettingsException(String message, SourceLocation location, Throwable cause) {
    super(message, location, cause);
  }
}
