package org.limpetdoor.core.gateway.account;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name name of the account, which engines receive
 * @param priority priority of its calls, which takes precedence over that of their routes; 0 is the
 *     most urgent
 * @param allowance what the account may use over all instances together
 */
public record ClientAccount(String name, OptionalInt priority, Allowance allowance) {}
