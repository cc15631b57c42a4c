package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.AccountTable.AccountKeys;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.AllowanceUnit;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.gateway.account.Credential;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.limits.AccountRates;
import org.limpetdoor.core.limits.UseReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;

/** Tests how calls are charged to the allowances of their accounts by one gateway. */
class AllowanceTest {
  private static final String NAME = "acme";
  private static final KeyDigest KEY = new KeyDigest("a".repeat(64));
  private static final double COST = 200;

  private final GatewayFixture fixture = new GatewayFixture();

  /** Without a list of instances, this one counts as one of 64 and has 1,000 tokens a second. */
  @BeforeEach
  void start() {
    routes(1, new Allowance(64_000, 64_000, AllowanceUnit.TOKENS, COST));
    fixture.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
  }

  private void routes(long version, Allowance allowance) {
    ClientAccount account = new ClientAccount(NAME, OptionalInt.empty(), allowance);
    fixture.routes(
        version,
        AccountTable.of(List.of(new AccountKeys(account, List.of(KEY)))),
        GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 2),
        GatewayFixture.route("/stream/", CallKind.STREAM, 2));
  }

  private long call(String path) {
    return fixture.callWith(Credential.ofKey(KEY), path);
  }

  private double admittedPerS() {
    return fixture.gateway().usage().admittedPerS(NAME, fixture.nowMs());
  }

  private double level() {
    return fixture.gateway().usage().meters().get(NAME).level();
  }

  private List<ReplyToCall> refusalsOf(int calls) {
    IntStream.range(0, calls).forEach(i -> call("/safe/x"));
    return fixture.take(ReplyToCall.class);
  }

  /** Guards against calls over the allowance that run, wait, or come back in one wave. */
  @Test
  void refusesCallsOverTheAllowanceAtArrival() {
    IntStream.range(0, 40).forEach(i -> call("/safe/x"));

    List<CallDecision> refusals =
        fixture.take(RecordDecision.class).stream()
            .map(RecordDecision::decision)
            .filter(CallDecision.class::isInstance)
            .map(CallDecision.class::cast)
            .filter(decision -> decision.fields().toString().contains("allowance_exceeded"))
            .toList();
    assertThat(refusals.size()).isAtLeast(30);
    assertThat(refusals.get(refusals.size() - 1).fields().toString())
        .containsMatch("account, value=acme.*cause, value=over_rate");
    List<ReplyToCall> replies = refusalsOf(40);
    assertThat(replies.stream().map(ReplyToCall::reply).distinct().toList())
        .containsExactly(Reply.ALLOWANCE_EXCEEDED);
    assertThat(replies.stream().map(ReplyToCall::retryAfterMs).distinct().count()).isAtLeast(30);
  }

  /** Guards against limits that need the store. */
  @Test
  void limitsWithoutTheStore() {
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));

    assertThat(refusalsOf(40).size()).isAtLeast(30);
  }

  /** Guards against an account without a limit that is counted or refused. */
  @Test
  void handlesAnAccountWithoutLimitAsBefore() {
    routes(2, Allowance.UNLIMITED);

    assertThat(refusalsOf(8)).isEmpty();
    assertThat(fixture.gateway().usage().ownReport(fixture.nowMs())).isEqualTo(UseReport.NONE);
  }

  /** Guards against an account that pays for a call that no engine has run. */
  @Test
  void givesTheCostBackOfACallThatNeverReachedAnEngine() {
    long id = call("/safe/x");
    fixture.endForward(id, 1, ForwardResult.CONNECT_FAILED);
    fixture.endForward(id, 2, ForwardResult.CONNECT_FAILED);
    fixture.reduce(new CallCancelled(fixture.nowMs(), id));

    assertThat(fixture.gateway().calls()).isEmpty();
    assertThat(admittedPerS()).isEqualTo(0);
    assertThat(level()).isEqualTo(0);
  }

  /** Guards against runs that are not paid for. */
  @Test
  void keepsTheCostOfACallThatRan() {
    fixture.endForward(call("/safe/x"), 1, ForwardResult.COMPLETED);
    fixture.reduce(new CallCancelled(fixture.nowMs(), call("/safe/y")));

    assertThat(level()).isEqualTo(-2 * COST);
  }

  /** Guards against a resumed call that is charged once for each engine. */
  @Test
  void chargesAResumedCallOnce() {
    routes(2, new Allowance(6_400_000, 6_400_000, AllowanceUnit.TOKENS, COST));
    IntStream.range(0, 10).forEach(i -> call("/safe/x"));
    double before = level();
    long id = call("/stream/x");
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    fixture.endForward(id, 1, ForwardResult.CONNECTION_LOST);

    assertThat(fixture.gateway().calls().get(id).triedEngines()).hasSize(2);
    assertThat(level()).isEqualTo(before - COST);
  }

  /** Guards against a request that is sent twice and paid for once, or decided alike. */
  @Test
  void chargesARequestThatIsSentTwiceTwice() {
    call("/safe/x");
    call("/safe/x");

    assertThat(level()).isEqualTo(-2 * COST);
  }

  private void receive(String peer, DigestScope scope, long echoedAtMs, int instances, double use) {
    InstanceId id = new InstanceId(peer);
    fixture.reduce(new PeerLinkUp(fixture.nowMs(), id));
    fixture.reduce(
        new PeerMessageReceived(
            fixture.nowMs(),
            id,
            new LoadDigest(
                scope,
                new DigestTimes(fixture.nowMs(), echoedAtMs),
                new StoreFacts(1, new StorePosition(0, 0), true, 0),
                0,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePSet.empty(),
                HashTreePMap.empty(),
                new UseReport(instances, HashTreePMap.singleton(NAME, new AccountRates(use, use))),
                List.of())));
  }

  private UseReport sent(String peer) {
    return fixture.take(SendToPeer.class).stream()
        .filter(effect -> effect.peer().equals(new InstanceId(peer)))
        .map(SendToPeer::message)
        .filter(LoadDigest.class::isInstance)
        .map(message -> ((LoadDigest) message).use())
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  /** Guards against use that a spoke counts twice, or that a hub does not pass on. */
  @Test
  void tellsASpokeTheUseOfAllOthers() {
    receive("spoke-1", DigestScope.INSTANCE, 0, 1, 100);
    receive("spoke-2", DigestScope.INSTANCE, 0, 1, 30);
    receive("hub-2", DigestScope.GROUP, 0, 9, 4);
    fixture.advance(500);

    UseReport report = sent("spoke-1");
    assertThat(report.instances()).isEqualTo(11);
    assertThat(report.of(NAME).offeredPerS()).isWithin(1e-9).of(34);
  }

  /** Guards against a hub that reports the use of its group incompletely or that of other hubs. */
  @Test
  void tellsAnotherHubTheUseOfTheGroup() {
    receive("spoke-1", DigestScope.INSTANCE, 0, 1, 100);
    receive("spoke-2", DigestScope.INSTANCE, 0, 1, 30);
    receive("hub-2", DigestScope.GROUP, 0, 9, 4);
    fixture.advance(500);

    UseReport report = sent("hub-2");
    assertThat(report.instances()).isEqualTo(3);
    assertThat(report.of(NAME).offeredPerS()).isWithin(1e-9).of(130);
  }

  /** Returns whether a hub sends another one an early digest after the use by a spoke has moved. */
  private boolean isToldEarly(double use) {
    receive("spoke-1", DigestScope.INSTANCE, 0, 1, 100);
    receive("hub-2", DigestScope.GROUP, 0, 9, 4);
    fixture.advance(250);
    fixture.take(SendToPeer.class);
    receive("spoke-1", DigestScope.INSTANCE, 0, 1, use);
    fixture.advance(250);
    return fixture.take(SendToPeer.class).stream()
        .anyMatch(effect -> effect.peer().equals(new InstanceId("hub-2")));
  }

  /** Guards against a burst that other hubs learn of half a second late. */
  @Test
  void sendsADigestEarlyWhenTheOfferedRateMovedByAnEighthOfTheAllowance() {
    assertThat(isToldEarly(8_200)).isTrue();
  }

  /** Guards against digests that are sent early for each call of an account. */
  @Test
  void sendsNoDigestEarlyWhenTheOfferedRateMovedByLess() {
    assertThat(isToldEarly(8_000)).isFalse();
  }

  /** Guards against reports of a lost peer, or from before a freeze, that count on. */
  @Test
  void countsRecentReportsOnly() {
    receive("hub-2", DigestScope.GROUP, 0, 9, 50);
    assertThat(admittedPerS()).isEqualTo(50);
    assertThat(fixture.gateway().usage().coverage()).isEqualTo(10.0 / 64);
    assertThat(fixture.gateway().usage().admittedPerS(NAME, fixture.nowMs() + 1_000)).isEqualTo(0);

    fixture.advance(20_000);
    receive("hub-2", DigestScope.GROUP, 1_000, 9, 50);
    assertThat(admittedPerS()).isEqualTo(0);
  }
}
