package org.limpetdoor.core.gateway.sharing;

import java.util.List;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Claims of accounts to capacity that is insufficient: their weights in fair queueing. The claim of
 * an account is the rate of its allowance. An account without a limit has the mean claim of those
 * with one, so that accounts have equal parts if none of them has a limit.
 *
 * @param limited claims of the accounts with a limit, per second, in the unit of their allowance
 * @param other claim of all other callers
 */
public record Claims(PMap<String, Double> limited, double other) {
  /** Returns the claims of the accounts of one version of the configuration. */
  public static Claims of(AccountTable table) {
    List<ClientAccount> accounts =
        table.all().stream().filter(account -> account.allowance().limited()).toList();
    PMap<String, Double> limited = HashTreePMap.empty();
    for (ClientAccount account : accounts) {
      limited = limited.plus(account.name(), account.allowance().ratePerS());
    }
    double mean =
        accounts.stream()
            .map(ClientAccount::allowance)
            .mapToDouble(Allowance::ratePerS)
            .average()
            .orElse(1);
    return new Claims(limited, mean);
  }

  /** Returns the claim of an account; above 0. */
  double of(String account) {
    return limited.getOrDefault(account, other);
  }
}
