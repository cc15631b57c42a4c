package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.limits.AllowanceReason;
import org.limpetdoor.core.limits.AllowanceVerdict;

/** Guards against metrics whose memory grows with the number of accounts. */
class AccountMetricsTest {
  private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
  private final AccountMetrics accounts = new AccountMetrics(metrics);

  private void refuse(String account) {
    AllowanceVerdict verdict = new AllowanceVerdict(AllowanceReason.IN_DEBT, 0, 1, 1_000);
    CallDecision.Subject subject =
        new CallDecision.Subject("c1", "r", "s", "none", 0, Optional.of(account));
    accounts.count(CallDecision.overAllowance(subject, Reply.ALLOWANCE_EXCEEDED, verdict, 700));
  }

  private double refused(String account) {
    return metrics
        .get("limpetdoor.account.calls")
        .tags("account", account, "outcome", "allowance_exceeded", "cause", "in_debt")
        .counter()
        .count();
  }

  @Test
  void countsAccountsBeyondTheLimitTogether() {
    for (int i = 0; i < AccountMetrics.MAX_ACCOUNTS + 5; i++) {
      refuse("account-" + i);
    }
    refuse("account-0");

    assertThat(refused("account-0")).isEqualTo(2);
    assertThat(refused("other")).isEqualTo(5);
    assertThat(metrics.getMeters()).hasSize(AccountMetrics.MAX_ACCOUNTS + 1);
  }
}
