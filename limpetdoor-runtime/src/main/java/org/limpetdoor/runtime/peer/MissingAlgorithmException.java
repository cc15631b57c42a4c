package org.limpetdoor.runtime.peer;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when the Java runtime lacks an algorithm that every Java platform must support. */
final class MissingAlgorithmException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  MissingAlgorithmException(String algorithm, Throwable cause) {
    super("the Java runtime has no algorithm " + algorithm, null, cause);
  }
}
