package org.limpetdoor.entry.traffic;

import java.io.IOException;
import java.io.InputStream;

/** A body that cannot be read, which makes the client give up the request. */
final class FailingStream extends InputStream {
  private final String message;

  FailingStream(String message) {
    this.message = message;
  }

  @Override
  public int read() throws IOException {
    throw new IOException(message);
  }
}
