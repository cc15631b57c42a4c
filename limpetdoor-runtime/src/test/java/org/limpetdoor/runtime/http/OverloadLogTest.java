package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.runtime.decision.LogLine;

/** Tests how often overload is logged. */
class OverloadLogTest {
  private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
  private final List<LogLine> lines = new ArrayList<>();
  private long nowNs;

  /** Guards against a log that a crowd fills with a line for each connection. */
  @Test
  void writesALineASecondAndCountsAll() {
    OverloadLog log = new OverloadLog(metrics, lines::add, () -> nowNs);
    for (int i = 0; i < 10; i++) {
      log.accept(OverloadReason.CONNECTIONS);
    }
    assertThat(lines).hasSize(1);
    nowNs += TimeUnit.SECONDS.toNanos(1);
    log.flush();
    log.flush();

    assertThat(lines).hasSize(2);
    assertThat(lines.get(1).toString()).contains("connections=9");
    assertThat(metrics.counter("limpetdoor.overload", "reason", "connections").count())
        .isEqualTo(10.0);
  }
}
