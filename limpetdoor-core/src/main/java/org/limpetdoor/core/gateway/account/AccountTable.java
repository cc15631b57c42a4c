package org.limpetdoor.core.gateway.account;

import java.util.Collection;
import java.util.List;
import org.limpetdoor.core.id.KeyDigest;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The client accounts of one version of the configuration.
 *
 * @param inUse whether the configuration defines accounts; without them, every caller is served
 * @param byKey accounts by the digest of each of their keys
 * @param all all accounts, also those without a key
 */
public record AccountTable(
    boolean inUse, PMap<KeyDigest, ClientAccount> byKey, List<ClientAccount> all) {
  /** The table of a configuration that defines no accounts. */
  public static final AccountTable NONE = new AccountTable(false, HashTreePMap.empty(), List.of());

  /** Copies the accounts. */
  public AccountTable {
    all = List.copyOf(all);
  }

  /**
   * An account with its keys.
   *
   * @param account the account
   * @param keys digests of its keys
   */
  public record AccountKeys(ClientAccount account, Collection<KeyDigest> keys) {}

  /** Creates the table of a configuration that defines accounts. */
  public static AccountTable of(Collection<AccountKeys> accounts) {
    PMap<KeyDigest, ClientAccount> byKey = HashTreePMap.empty();
    for (AccountKeys entry : accounts) {
      for (KeyDigest key : entry.keys()) {
        byKey = byKey.plus(key, entry.account());
      }
    }
    return new AccountTable(true, byKey, accounts.stream().map(AccountKeys::account).toList());
  }

  /**
   * Authenticates a caller.
   *
   * @param credential what the caller presented
   * @param anonymousAccess whether the route is open to callers without an account
   */
  public Authentication authenticate(Credential credential, boolean anonymousAccess) {
    if (!inUse) {
      return Authentication.NOT_IN_USE;
    }
    return credential
        .key()
        .map(byKey::get)
        .map(Authentication::identified)
        .orElse(anonymousAccess ? Authentication.ANONYMOUS : Authentication.REFUSED);
  }

  /** Returns the accounts without the digests of their keys, which must not reach log lines. */
  @Override
  public String toString() {
    return "AccountTable[inUse=" + inUse + ", accounts=" + all + "]";
  }
}
