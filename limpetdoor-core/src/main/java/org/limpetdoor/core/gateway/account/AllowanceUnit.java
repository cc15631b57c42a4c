package org.limpetdoor.core.gateway.account;

import java.util.OptionalLong;

/** What an allowance counts. */
public enum AllowanceUnit {
  /** Each request counts one. */
  REQUESTS {
    @Override
    double cost(OptionalLong statedTokens, double defaultTokens) {
      return 1;
    }
  },
  /** Each request counts the tokens of its prompt and the most that it may generate. */
  TOKENS {
    @Override
    double cost(OptionalLong statedTokens, double defaultTokens) {
      return statedTokens.isPresent() ? statedTokens.getAsLong() : defaultTokens;
    }
  };

  /**
   * Returns the cost of a request.
   *
   * @param statedTokens tokens that the caller stated, if any
   * @param defaultTokens cost of a request without them
   */
  abstract double cost(OptionalLong statedTokens, double defaultTokens);
}
