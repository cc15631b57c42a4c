package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.List;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.gateway.Call.Attempt;
import org.limpetdoor.core.gateway.SilentAttempts.SilentAttempt;
import org.limpetdoor.core.id.BackendId;

/** Records contents that crash engines, and shares the evidence with the peers. */
public final class CrashEvents {
  /**
   * Delay of a report to the peers, in milliseconds; the calls that were in flight on an engine are
   * lost within it. Without a report, peers would crash further engines until the next digest.
   */
  private static final long REPORT_DELAY_MS = 10;

  private CrashEvents() {}

  /** Records what the end of an attempt shows about the contents of its call. */
  static Transition<NodeState, Effect> attemptEnded(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    return switch (result) {
      case CONNECTION_LOST, REQUEST_CUT ->
          recordSoundAnswers(node).then(next -> recordLoss(next, call, attempt, result));
      case COMPLETED ->
          answered(
              node,
              node.gateway()
                  .crashRecords()
                  .withAnswer(call.spec().sharedPromptParts(), node.nowMs())
                  .withCompletion(call.spec().fingerprint(), node.nowMs()));
      default -> Transition.of(node);
    };
  }

  /**
   * Records an attempt without a response for some time or to its end, for the case that its engine
   * has crashed.
   */
  static NodeState attemptSilent(NodeState node, Call call, Attempt attempt) {
    if (node.gateway().engines().find(attempt.engine()).isEmpty()) {
      return node;
    }
    CrashRecords records = node.gateway().crashRecords();
    Call ended = call.withAttemptEnded(ForwardResult.SILENT, false, node.nowMs());
    List<Long> contents = CallContents.suspected(ended, attempt, records.answered(), node.nowMs());
    SilentAttempt silent =
        new SilentAttempt(contents, CallContents.loss(call.spec(), attempt, node.nowMs()));
    return withRecords(
        node, records.withSilentAttempts(records.silentAttempts().with(attempt.engine(), silent)));
  }

  /** Forgets the silent attempts at an engine that has responded, so that it has not crashed. */
  static NodeState engineResponded(NodeState node, BackendId engine) {
    CrashRecords records = node.gateway().crashRecords();
    return withRecords(node, records.withSilentAttempts(records.silentAttempts().without(engine)));
  }

  /**
   * Records the silent attempts at an engine that has left the list, or started again, without
   * notice: it had crashed without closing its connections.
   */
  static Transition<NodeState, Effect> engineLost(NodeState node, EngineState engine) {
    BackendId id = engine.entry().id();
    List<SilentAttempt> attempts = node.gateway().crashRecords().silentAttempts().at(id);
    Transition<NodeState, Effect> result = Transition.of(engineResponded(node, id));
    if (!engine.usable()) {
      return result;
    }
    for (SilentAttempt attempt : attempts) {
      result =
          result.then(
              next ->
                  changed(
                      next,
                      next.gateway()
                          .crashRecords()
                          .withLoss(attempt.contents(), attempt.loss(), false, next.nowMs()),
                      attempt.contents()));
    }
    return attempts.isEmpty() ? result : result.then(CrashEvents::scheduleReport);
  }

  private static Transition<NodeState, Effect> recordLoss(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    CrashRecords records = node.gateway().crashRecords();
    Collection<Long> contents =
        CallContents.suspected(call, attempt, records.answered(), node.nowMs());
    EngineLoss loss = CallContents.loss(call.spec(), attempt, node.nowMs());
    boolean doubtful = result == ForwardResult.REQUEST_CUT;
    return changed(node, records.withLoss(contents, loss, doubtful, node.nowMs()), contents)
        .then(CrashEvents::scheduleReport);
  }

  /**
   * Records the answers in progress that have gone on for so long that the parts of their prompts
   * do not crash engines. Only losses need this, and they are rare.
   */
  private static Transition<NodeState, Effect> recordSoundAnswers(NodeState node) {
    CrashRecords records = node.gateway().crashRecords();
    for (Call open : node.gateway().calls().values()) {
      boolean sound =
          open.activeAttempt().filter(active -> active.showsSoundPrompt(node.nowMs())).isPresent();
      if (sound) {
        records = records.withAnswer(open.spec().sharedPromptParts(), node.nowMs());
      }
    }
    return answered(node, records);
  }

  private static Transition<NodeState, Effect> answered(NodeState node, CrashRecords next) {
    CrashRecords records = node.gateway().crashRecords();
    NodeState recorded = withRecords(node, next);
    boolean lossesCancelled = next.suspicions() != records.suspicions();
    return lossesCancelled ? scheduleReport(recorded) : Transition.of(recorded);
  }

  /**
   * Records the evidence of a peer. Instances through which others exchange messages pass it on at
   * once, and each instance reports at once that engines have answered a content lately.
   */
  static Transition<NodeState, Effect> reportsReceived(NodeState node, List<CrashReport> reports) {
    CrashRecords records = node.gateway().crashRecords();
    CrashRecords merged = records.withReports(reports, node.nowMs());
    if (merged.suspicions() == records.suspicions()) {
      return Transition.of(node);
    }
    Transition<NodeState, Effect> result =
        changed(node, merged, reports.stream().map(CrashReport::content).toList());
    boolean urgent =
        node.gateway().peers().hasSpokes() || reports.stream().anyMatch(merged::contradicts);
    return urgent ? result.then(CrashEvents::scheduleReport) : result;
  }

  /** Sends the evidence to the peers. */
  public static Transition<NodeState, Effect> reportDue(NodeState node, String key) {
    CrashRecords records = node.gateway().crashRecords();
    return Digests.send(withRecords(node, records.withReportDueAtMs(Timed.NEVER_MS)));
  }

  private static Transition<NodeState, Effect> scheduleReport(NodeState node) {
    CrashRecords records = node.gateway().crashRecords();
    if (records.reportDueAtMs() != Timed.NEVER_MS) {
      return Transition.of(node);
    }
    long dueAtMs = node.nowMs() + REPORT_DELAY_MS;
    return Transition.of(
        withRecords(node, records.withReportDueAtMs(dueAtMs))
            .withTimers(node.timers().plus(new Timer(dueAtMs, TimerKind.CRASH_REPORT, ""))));
  }

  /** Applies changed records, and records the decision to ban contents. */
  private static Transition<NodeState, Effect> changed(
      NodeState node, CrashRecords next, Collection<Long> contents) {
    CrashRecords previous = node.gateway().crashRecords();
    Transition<NodeState, Effect> result = Transition.of(withRecords(node, next));
    for (long content : contents) {
      if (next.isBanned(content, node.nowMs()) && !previous.isBanned(content, node.nowMs())) {
        CrashSuspicion suspicion = next.suspicions().get(content);
        result =
            result.with(
                new RecordDecision(
                    GatewayDecision.contentBanned(
                        content,
                        suspicion.losses().size(),
                        suspicion.bannedUntilMs() - node.nowMs())));
      }
    }
    return result;
  }

  private static NodeState withRecords(NodeState node, CrashRecords records) {
    return records == node.gateway().crashRecords()
        ? node
        : node.withGateway(node.gateway().withCrashRecords(records));
  }
}
