package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.CallDecision.Subject;
import org.limpetdoor.core.decision.FailureCause;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.id.BackendId;

class DecisionLogTest {
  private static final Subject CALL = new Subject("c1", "r1", "llm", "m1", 1, Optional.empty());

  private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();

  private static CallDecision failed(Subject call, Reply reply) {
    return CallDecision.failed(
        call, new CallDecision.Failure(reply, FailureCause.ENGINES_FULL, false, 12, 3, 100));
  }

  /**
   * Returns a stream whose writes block until the latch opens, like a pipe whose reader has
   * stopped.
   */
  private static PrintStream blockingStream(CountDownLatch writeStarted, CountDownLatch resume) {
    return new PrintStream(
        new OutputStream() {
          @Override
          public void write(int b) {
            writeStarted.countDown();
            try {
              resume.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        },
        true,
        StandardCharsets.UTF_8);
  }

  /** Guards against a control thread that blocks because the reader of the log has stopped. */
  @Test
  void dropsLinesInsteadOfBlocking() throws InterruptedException {
    CountDownLatch writeStarted = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    try (DecisionLog log = new DecisionLog(blockingStream(writeStarted, resume), metrics, 8)) {
      log.record(failed(CALL, Reply.NO_ENGINE));
      assertThat(writeStarted.await(30, TimeUnit.SECONDS)).isTrue();

      for (int i = 0; i < 100; i++) {
        log.record(failed(CALL, Reply.NO_ENGINE));
      }

      assertThat(metrics.counter("limpetdoor.log.dropped.lines").count()).isAtLeast(92.0);
      resume.countDown();
    }
  }

  /**
   * Guards against a log volume that grows with the load, and against failures that are not logged.
   */
  @Test
  void samplesRoutineCallsAndWritesAllFailures() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DecisionLog log =
        new DecisionLog(new PrintStream(out, true, StandardCharsets.UTF_8), metrics)) {
      for (int i = 0; i < 40; i++) {
        log.record(CallDecision.routed(CALL, new BackendId("g1"), 3));
        log.record(failed(CALL, Reply.TIMED_OUT));
      }
    }

    String text = out.toString(StandardCharsets.UTF_8);
    long routed = text.lines().filter(line -> line.startsWith("event=call_routed")).count();
    long failed = text.lines().filter(line -> line.startsWith("event=call_refused")).count();
    assertThat(routed).isEqualTo(40 / DecisionLog.SAMPLE_ONE_IN);
    assertThat(failed).isEqualTo(40);
  }

  /** Guards against log injection through a caller-supplied identifier. */
  @Test
  void escapesCallerIdentifiers() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Subject forged =
        new Subject("c1\nevent=call_ended call=c2", "r1", "llm", "m1", 1, Optional.empty());
    try (DecisionLog log =
        new DecisionLog(new PrintStream(out, true, StandardCharsets.UTF_8), metrics)) {
      log.record(failed(forged, Reply.TIMED_OUT));
    }

    long lines = out.toString(StandardCharsets.UTF_8).lines().count();
    assertThat(lines).isEqualTo(2);
  }

  /**
   * Guards against lines that are lost because the writer thread ends before the last line is
   * queued.
   */
  @Test
  void writesQueuedLinesBeforeClosing() {
    for (int i = 0; i < 200; i++) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      DecisionLog log =
          new DecisionLog(new PrintStream(out, true, StandardCharsets.UTF_8), metrics);
      log.record(failed(CALL, Reply.TIMED_OUT));

      log.close();

      assertThat(out.toString(StandardCharsets.UTF_8)).contains("event=log_closed");
    }
  }

  /** Guards against durations that are recorded under the wrong route or not at all. */
  @Test
  void recordsDurationsByRoute() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DecisionLog log =
        new DecisionLog(new PrintStream(out, true, StandardCharsets.UTF_8), metrics)) {
      log.record(CallDecision.ended(CALL, CallDecision.Outcome.COMPLETED, 120));
    }

    assertThat(
            metrics
                .get("limpetdoor.call.duration.ms")
                .tag("route", "r1")
                .tag("reason", "completed")
                .summary()
                .totalAmount())
        .isEqualTo(120.0);
  }

  /** Guards against failures whose cause is missing in the metrics. */
  @Test
  void countsFailuresByCause() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DecisionLog log =
        new DecisionLog(new PrintStream(out, true, StandardCharsets.UTF_8), metrics)) {
      log.record(failed(CALL, Reply.OUTCOME_UNKNOWN));
    }

    assertThat(
            metrics
                .get("limpetdoor.calls.failed")
                .tag("cause", "engines_full")
                .tag("broken_off", "false")
                .tag("route", "r1")
                .counter()
                .count())
        .isEqualTo(1.0);
  }
}
