package org.limpetdoor.core.limits;

import java.util.Locale;

/** Why a call was admitted to, or refused from, the allowance of its account. */
public enum AllowanceReason {
  /** The fleet offers no more than the allowance. */
  WITHIN(true),
  /** The fleet offers more, and the call is in the part that the allowance covers. */
  SHARE(true),
  /** No other instance reports calls of the account, and the bucket is not empty. */
  SOLE_USER(true),
  /** The fleet offers more, and the call is in the part that exceeds the allowance. */
  OVER_RATE(false),
  /** More was admitted than the allowance, which is paid back first. */
  IN_DEBT(false);

  private final boolean admits;

  AllowanceReason(boolean admits) {
    this.admits = admits;
  }

  /** Returns whether the call is served. */
  public boolean admits() {
    return admits;
  }

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
