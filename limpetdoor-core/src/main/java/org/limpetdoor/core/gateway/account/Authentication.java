package org.limpetdoor.core.gateway.account;

import java.util.Optional;

/**
 * Result of the authentication of a caller.
 *
 * @param outcome outcome
 * @param account account of the caller, if it is known
 */
public record Authentication(Outcome outcome, Optional<ClientAccount> account) {
  /** The deployment has no accounts. */
  public static final Authentication NOT_IN_USE =
      new Authentication(Outcome.NOT_IN_USE, Optional.empty());

  /** The route is open to callers without an account. */
  public static final Authentication ANONYMOUS =
      new Authentication(Outcome.ANONYMOUS, Optional.empty());

  /** The caller did not present the key of an account. */
  public static final Authentication REFUSED =
      new Authentication(Outcome.REFUSED, Optional.empty());

  /** Outcomes of an authentication. */
  public enum Outcome {
    /** The deployment has no accounts. */
    NOT_IN_USE,
    /** The route is open to callers without an account. */
    ANONYMOUS,
    /** The caller presented the key of an account. */
    IDENTIFIED,
    /** The caller did not present the key of an account, and the route requires one. */
    REFUSED
  }

  static Authentication identified(ClientAccount account) {
    return new Authentication(Outcome.IDENTIFIED, Optional.of(account));
  }

  /** Returns whether the call may not be served. */
  public boolean refused() {
    return outcome == Outcome.REFUSED;
  }

  /** Returns whether the gateway, and not the caller, states the account to engines. */
  public boolean accountsInUse() {
    return outcome != Outcome.NOT_IN_USE;
  }
}
