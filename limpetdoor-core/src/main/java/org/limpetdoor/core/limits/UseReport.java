package org.limpetdoor.core.limits;

import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Use of the accounts that have a limit, by the instances that a digest covers.
 *
 * @param instances number of these instances, or 0 if no account has a limit
 * @param byAccount use by name of the account; accounts without use are absent
 */
public record UseReport(int instances, PMap<String, AccountRates> byAccount) {
  /** Report of an instance that knows no account with a limit. */
  public static final UseReport NONE = new UseReport(0, HashTreePMap.empty());

  /** Returns the report about two groups of instances that have none in common. */
  public UseReport plus(UseReport other) {
    PMap<String, AccountRates> sum = byAccount;
    for (Map.Entry<String, AccountRates> entry : other.byAccount.entrySet()) {
      AccountRates known = sum.getOrDefault(entry.getKey(), AccountRates.NONE);
      sum = sum.plus(entry.getKey(), known.plus(entry.getValue()));
    }
    return new UseReport(instances + other.instances, sum);
  }

  /** Returns the report without some of the instances. */
  public UseReport minus(UseReport other) {
    PMap<String, AccountRates> rest = byAccount;
    for (Map.Entry<String, AccountRates> entry : other.byAccount.entrySet()) {
      AccountRates known = rest.getOrDefault(entry.getKey(), AccountRates.NONE);
      AccountRates left = known.minus(entry.getValue());
      boolean unused = left.offeredPerS() <= 0 && left.admittedPerS() <= 0;
      rest = unused ? rest.minus(entry.getKey()) : rest.plus(entry.getKey(), left);
    }
    return new UseReport(Math.max(0, instances - other.instances), rest);
  }

  /** Returns the use of an account. */
  public AccountRates of(String account) {
    return byAccount.getOrDefault(account, AccountRates.NONE);
  }
}
