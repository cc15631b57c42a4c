package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/** Guards against a part of prompts that crashes one engine after another. */
class CrashingPromptPartTest {
  /** Part that all prompts of a caller begin with. */
  private static final long COMMON = 0x11;

  /** Part that crashes each engine that begins to answer a prompt with it. */
  private static final long CRASHING = 0x66;

  private final GatewayFixture fixture = new GatewayFixture();

  @BeforeEach
  void setUp() {
    fixture.routes(1, GatewayFixture.modelRoute("/chat/"));
    EngineEntry[] engines = new EngineEntry[8];
    for (int i = 0; i < engines.length; i++) {
      engines[i] = GatewayFixture.entry("e" + i, "llm", 1, 0, ModelKey.of("m1"));
    }
    fixture.engines(engines);
    for (int i = 0; i < 40; i++) {
      answer(COMMON);
    }
  }

  /** Sends a prompt and lets each engine that runs it crash, until it is answered. */
  private void crashEnginesWith(Long... parts) {
    long id = fixture.prompt(parts);
    List<ForwardCall> attempts = fixture.take(ForwardCall.class);
    while (!attempts.isEmpty()) {
      fixture.advance(20);
      fixture.take(ForwardCall.class);
      int attempt = attempts.get(0).attempt();
      fixture.reduce(
          new ForwardEnded(fixture.nowMs(), id, attempt, ForwardResult.CONNECTION_LOST, false));
      attempts = fixture.take(ForwardCall.class);
    }
  }

  private void answer(Long... parts) {
    long id = fixture.prompt(parts);
    fixture.advance(20);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    fixture.endForward(id, 1, ForwardResult.COMPLETED);
    fixture.take(ForwardCall.class);
  }

  private boolean isSent(Long... parts) {
    fixture.take(ForwardCall.class);
    fixture.prompt(parts);
    return !fixture.take(ForwardCall.class).isEmpty();
  }

  @Test
  void refusesPromptsThatShareAPartWithThoseThatCrashedThreeEngines() {
    crashEnginesWith(COMMON, CRASHING);
    crashEnginesWith(COMMON, CRASHING);
    fixture.take(ReplyToCall.class);

    fixture.prompt(COMMON, CRASHING);

    List<ReplyToCall> replies = fixture.take(ReplyToCall.class);
    assertThat(replies).hasSize(1);
    assertThat(replies.get(0).reply()).isEqualTo(Reply.CRASH_SUSPECT);
  }

  /** Guards against refusing the sound prompts of a caller together with the crashing ones. */
  @Test
  void servesPromptsThatShareTheOtherParts() {
    crashEnginesWith(COMMON, CRASHING);
    crashEnginesWith(COMMON, CRASHING);

    assertThat(isSent(COMMON, 0x22L)).isTrue();
  }

  /** Guards against refusing sound prompts on an instance that has just started. */
  @Test
  void servesAPartWithAnswersSinceTheLastCrash() {
    long fresh = 0x33;
    crashEnginesWith(fresh, CRASHING);
    answer(fresh);
    crashEnginesWith(fresh, CRASHING);

    assertThat(isSent(fresh)).isTrue();
    assertThat(isSent(CRASHING)).isFalse();
  }

  /** Guards against refusing a part because several engines that ran it crash at the same time. */
  @Test
  void countsEnginesThatCrashTogetherOnce() {
    long rare = 0x44;
    long[] calls = new long[6];
    for (int i = 0; i < calls.length; i++) {
      calls[i] = fixture.prompt(rare);
    }
    fixture.advance(20);
    for (long call : calls) {
      fixture.endForward(call, 1, ForwardResult.CONNECTION_LOST);
    }

    assertThat(isSent(rare)).isTrue();
  }

  /** Sends a prompt whose engine crashes some time after the first event of its answer. */
  private void crashEngineAfterFirstEvent(long afterMs, Long... parts) {
    long id = fixture.prompt(parts);
    fixture.advance(20);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    fixture.advance(afterMs);
    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    fixture.reduce(new CallCancelled(fixture.nowMs(), id));
    fixture.take(ForwardCall.class);
  }

  /**
   * Guards against a part that is never banned since its engines send an event before they crash.
   */
  @Test
  void refusesAPartThatCrashesEnginesAfterTheirFirstEvent() {
    for (int i = 0; i < 3; i++) {
      crashEngineAfterFirstEvent(20, COMMON, CRASHING);
      answer(COMMON);
    }

    assertThat(isSent(COMMON, CRASHING)).isFalse();
    assertThat(isSent(COMMON)).isTrue();
  }

  /** Guards against an answer that has only begun and clears a part that crashes engines. */
  @Test
  void anAnswerThatHasBegunDoesNotClearItsParts() {
    for (int i = 0; i < 3; i++) {
      crashEnginesWith(COMMON, CRASHING);
      fixture.reduce(new ForwardStarted(fixture.nowMs(), fixture.prompt(COMMON, CRASHING), 1));
      fixture.take(ForwardCall.class);
    }

    assertThat(isSent(COMMON, CRASHING)).isFalse();
  }

  /** Guards against suspecting the parts of streams that were only near a crash. */
  @Test
  void doesNotSuspectThePartsOfAnAnswerThatHasGoneOn() {
    for (long part = 0x50; part < 0x53; part++) {
      crashEngineAfterFirstEvent(500, part, 0x55L);
    }

    assertThat(isSent(0x55L)).isTrue();
  }

  /** Guards against refusing a sound part for crashes beside a long answer to a prompt with it. */
  @Test
  void anAnswerThatGoesOnClearsItsParts() {
    long rare = 0x44;
    long longAnswer = fixture.prompt(rare);
    fixture.advance(20);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), longAnswer, 1));
    fixture.advance(500);
    for (int i = 0; i < 3; i++) {
      crashEngineAfterFirstEvent(20, rare, CRASHING);
    }

    assertThat(isSent(rare)).isTrue();
    assertThat(isSent(CRASHING)).isFalse();
  }

  /** Guards against an error of an engine that is taken as proof that a part is harmless. */
  @Test
  void anErrorAnswerDoesNotClearAPart() {
    crashEnginesWith(COMMON, CRASHING);
    fixture.endForward(fixture.prompt(COMMON, CRASHING), 1, ForwardResult.ERROR_ANSWER);
    fixture.take(ForwardCall.class);
    crashEnginesWith(COMMON, CRASHING);

    assertThat(isSent(COMMON, CRASHING)).isFalse();
  }

  /** Guards against sending a prompt that waited for an engine while its part was banned. */
  @Test
  void answersWaitingPromptsOnceTheirPartIsBanned() {
    crashEnginesWith(COMMON, CRASHING);
    for (int i = 0; i < 8 * 4; i++) {
      fixture.prompt(COMMON);
      fixture.advance(130);
    }
    fixture.take(ForwardCall.class);
    long waiting = fixture.prompt(COMMON, CRASHING);
    assertThat(fixture.gateway().waiting()).contains(waiting);

    fixture.peerReports(report(CRASHING, 3));
    fixture.advance(250);

    assertThat(fixture.gateway().calls()).doesNotContainKey(waiting);
    assertThat(fixture.take(ForwardCall.class).stream().map(ForwardCall::call))
        .doesNotContain(waiting);
  }

  /** Guards against crashing engines through one instance after another. */
  @Test
  void refusesAPartThatCrashedEnginesOfPeers() {
    fixture.peerReports(report(CRASHING, 3));

    assertThat(isSent(COMMON, CRASHING)).isFalse();
  }

  /** Guards against counting one crash once for each report of it. */
  @Test
  void countsALossThatIsReportedAgainOnce() {
    for (int i = 0; i < 5; i++) {
      fixture.peerReports(report(CRASHING, 2));
      fixture.advance(300);
    }

    assertThat(isSent(COMMON, CRASHING)).isTrue();
  }

  /** Guards against peers that go on crashing engines until the next digest. */
  @Test
  void reportsLossesToPeersWithoutWaitingForTheNextDigest() {
    fixture.peerDigest("node-2", true, 0);
    fixture.advance(260);
    crashEnginesWith(COMMON, CRASHING);
    fixture.take(SendToPeer.class);
    fixture.advance(15);

    assertThat(reportedContents()).contains(CRASHING);
  }

  /** Guards against a restarted instance that lets the part crash engines again. */
  @Test
  void reportsTheWholeEvidenceToANewPeer() {
    crashEnginesWith(COMMON, CRASHING);
    crashEnginesWith(COMMON, CRASHING);
    fixture.advance(5_000);
    fixture.take(SendToPeer.class);
    fixture.peerDigest("node-3", true, 0);
    fixture.advance(250);

    assertThat(reportedContents()).contains(CRASHING);
  }

  /** Guards against a sound part that stays refused at instances that never ran it. */
  @Test
  void clearsAPartThatAnEngineOfAPeerAnswered() {
    fixture.peerReports(report(CRASHING, 3));
    fixture.peerReports(new CrashReport(CRASHING, List.of(), true, 0));

    assertThat(isSent(COMMON, CRASHING)).isTrue();
  }

  /** Guards against a ban that never ends, and against one that ends as if nothing had happened. */
  @Test
  void bansAPartForLongerIfItCrashesAnEngineAfterItsBan() {
    fixture.peerReports(report(CRASHING, 3));
    fixture.advance(61_000);
    crashEnginesWith(COMMON, CRASHING);
    fixture.advance(61_000);
    assertThat(isSent(COMMON, CRASHING)).isFalse();

    fixture.advance(60_000);
    assertThat(isSent(COMMON, CRASHING)).isTrue();
  }

  /** Guards against ending a sound stream because three of its engines were crashed by others. */
  @Test
  void resumesAStreamThatWasContinuedByEachLostEngine() {
    Route chat = GatewayFixture.modelRoute("/chat/");
    fixture.routes(2, withMaxAttempts(chat, 5));
    long id = fixture.prompt(COMMON);
    for (int attempt = 1; attempt <= 4; attempt++) {
      fixture.take(ForwardCall.class);
      fixture.advance(20);
      fixture.reduce(new ForwardStarted(fixture.nowMs(), id, attempt));
      fixture.reduce(
          new ForwardEnded(fixture.nowMs(), id, attempt, ForwardResult.CONNECTION_LOST, true));
    }

    assertThat(fixture.take(ForwardCall.class)).hasSize(1);
  }

  /** Guards against a rare part that is banned for crashes that were far apart. */
  @Test
  void forgetsASingleLossAfterAMinute() {
    for (int i = 0; i < 3; i++) {
      fixture.advance(62_000);
      fixture.endForward(fixture.prompt(CRASHING), 1, ForwardResult.CONNECTION_LOST);
    }

    assertThat(isSent(CRASHING)).isTrue();
  }

  /**
   * Guards against refusing a caller's own part together with the crashing one that it came with.
   */
  @Test
  void aPeerThatSawAnAnswerKeepsASoundPartFromBeingBanned() {
    long ofCaller = 0x45;
    answer(ofCaller);

    fixture.peerReports(report(ofCaller, 3), report(CRASHING, 3));

    assertThat(isSent(ofCaller)).isTrue();
    assertThat(isSent(ofCaller, CRASHING)).isFalse();
    fixture.take(SendToPeer.class);
    fixture.peerReports(report(ofCaller, 4));
    fixture.advance(15);
    assertThat(reportedContents()).contains(ofCaller);
  }

  /** Guards against a part that crashes engines without end because it was sound before. */
  @Test
  void bansAPartThatWasAnsweredBeforeItBeganToCrashEngines() {
    answer(CRASHING);
    for (int i = 0; i < 6; i++) {
      answer(COMMON);
      crashEnginesWith(COMMON, CRASHING);
    }

    assertThat(isSent(COMMON, CRASHING)).isFalse();
    assertThat(isSent(COMMON)).isTrue();
  }

  private static Route withMaxAttempts(Route route, int maxAttempts) {
    return new Route(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        route.timeoutMs(),
        route.targetLatencyMs(),
        maxAttempts,
        route.priority(),
        route.resumable(),
        route.maxGapMs(),
        route.anonymousAccess(),
        route.services());
  }

  private static CrashReport report(long content, int losses) {
    List<CrashReport.Loss> inSequence =
        IntStream.range(0, losses)
            .mapToObj(i -> new CrashReport.Loss(i, 100 * (losses - i), 100 * (losses - i) - 50))
            .toList();
    return new CrashReport(content, inSequence, false, CrashReport.NOT_ANSWERED);
  }

  private List<Long> reportedContents() {
    return fixture.take(SendToPeer.class).stream()
        .map(SendToPeer::message)
        .filter(LoadDigest.class::isInstance)
        .flatMap(message -> ((LoadDigest) message).crashReports().stream())
        .map(CrashReport::content)
        .toList();
  }
}
