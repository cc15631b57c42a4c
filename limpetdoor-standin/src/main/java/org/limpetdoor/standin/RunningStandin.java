package org.limpetdoor.standin;

import io.micronaut.context.ApplicationContext;

/** A stand-in that serves requests until it is closed. */
public final class RunningStandin implements AutoCloseable {
  private final ApplicationContext context;
  private final Standin<?> standin;
  private final ListenAddress address;

  RunningStandin(ApplicationContext context, Standin<?> standin, ListenAddress address) {
    this.context = context;
    this.standin = standin;
    this.address = address;
  }

  /** Returns the address that the server listens on, with the actual port. */
  public ListenAddress address() {
    return address;
  }

  @Override
  public void close() {
    context.close();
    standin.close();
  }
}
