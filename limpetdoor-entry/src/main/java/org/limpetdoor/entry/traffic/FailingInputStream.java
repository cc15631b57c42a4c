package org.limpetdoor.entry.traffic;

import java.io.IOException;
import java.io.InputStream;

/** A request body that fails on the first read, which makes the client abort the request. */
final class FailingInputStream extends InputStream {
  private final String message;

  FailingInputStream(String message) {
    this.message = message;
  }

  @Override
  public int read() throws IOException {
    throw new IOException(message);
  }
}
