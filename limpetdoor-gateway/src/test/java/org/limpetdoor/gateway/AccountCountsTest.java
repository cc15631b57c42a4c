package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.CallDecision.Subject;
import org.limpetdoor.core.decision.FailureCause;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.id.BackendId;

class AccountCountsTest {
  private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
  private final AccountCounts counts = new AccountCounts(metrics, 0);

  private static Subject subject(String account, int attempts) {
    return new Subject("c1", "r1", "llm", "m1", attempts, Optional.of(account));
  }

  private static CallDecision refused(String account) {
    return CallDecision.failed(
        subject(account, 0),
        new CallDecision.Failure(Reply.ENGINES_FULL, FailureCause.GAVE_WAY, false, 0, 0, 100));
  }

  /** Guards against calls that are counted twice, or under no account. */
  @Test
  void countsCallsByAccountAndOutcome() {
    BackendId engine = new BackendId("e1");
    counts.count(CallDecision.routed(subject("a", 1), engine, 1, 0));
    counts.count(CallDecision.routed(subject("a", 1), engine, 1, 40));
    counts.count(CallDecision.routed(subject("a", 2), engine, 1, 90));
    counts.count(refused("a"));

    assertThat(counts.takeLines(AccountCounts.LOG_INTERVAL_MS).toString())
        .contains("account=a admitted=2 offered=3 refused_gave_way=1 waited=1");
    assertThat(counts.takeLines(2 * AccountCounts.LOG_INTERVAL_MS)).isEmpty();
  }

  /** Guards against metrics whose number grows with the number of accounts. */
  @Test
  void boundsTheNumberOfAccounts() {
    for (int i = 0; i < 100; i++) {
      counts.count(refused("account-" + i));
    }
    assertThat(counts.takeLines(AccountCounts.LOG_INTERVAL_MS))
        .hasSize(AccountCounts.MAX_ACCOUNTS + 1);
  }
}
