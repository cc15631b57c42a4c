package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.AccountTable.AccountKeys;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.AllowanceUnit;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.gateway.account.Credential;
import org.limpetdoor.core.id.KeyDigest;

/** Guards against calls that run for callers without the key of an account. */
class ClientAccountTest {
  private static final KeyDigest KEY_A = new KeyDigest("a".repeat(64));
  private static final KeyDigest KEY_B = new KeyDigest("b".repeat(64));
  private static final ClientAccount ACCOUNT_A = account("account-a", OptionalInt.of(0));
  private static final ClientAccount ACCOUNT_B = account("account-b", OptionalInt.empty());
  private static final String PATH = "/safe/x";

  private final GatewayFixture fixture = new GatewayFixture();

  private static ClientAccount account(String name, OptionalInt priority) {
    return new ClientAccount(name, priority, Allowance.UNLIMITED);
  }

  private static AccountTable accounts(KeyDigest... keysOfA) {
    return AccountTable.of(
        List.of(
            new AccountKeys(ACCOUNT_A, List.of(keysOfA)),
            new AccountKeys(ACCOUNT_B, List.of(KEY_B))));
  }

  private void start(AccountTable accounts, boolean anonymousAccess) {
    Route route = GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 2);
    fixture.routes(
        1,
        accounts,
        new Route(
            route.name(),
            route.host(),
            route.pathPrefix(),
            route.kind(),
            route.timeoutMs(),
            route.targetLatencyMs(),
            route.maxAttempts(),
            route.priority(),
            route.resumable(),
            route.maxGapMs(),
            anonymousAccess,
            route.services()));
    fixture.engines(GatewayFixture.plain("e1"));
    fixture.take(ForwardCall.class);
  }

  @Test
  void runsACallWithAKnownKeyForTheAccountThatHoldsIt() {
    start(accounts(KEY_A), false);
    fixture.callWith(Credential.ofKey(KEY_A), PATH);
    assertThat(fixture.take(ForwardCall.class).get(0).caller().account()).hasValue(ACCOUNT_A);
  }

  @Test
  void refusesCallsWithoutAKnownKeyBeforeTheyReachAnEngine() {
    start(accounts(KEY_A), false);
    for (Credential credential :
        List.of(
            Credential.ABSENT,
            Credential.MALFORMED,
            Credential.ofKey(new KeyDigest("c".repeat(64))))) {
      fixture.callWith(credential, PATH);
      assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.UNAUTHENTICATED);
    }
  }

  @Test
  void refusesARevokedKeyFromTheVersionThatLacksIt() {
    start(accounts(KEY_A), false);
    Route route = GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 2);
    fixture.routes(2, accounts(), route);
    fixture.callWith(Credential.ofKey(KEY_A), PATH);
    assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.UNAUTHENTICATED);
    fixture.routes(1, accounts(KEY_A), route);
    fixture.callWith(Credential.ofKey(KEY_A), PATH);
    assertThat(fixture.take(ReplyToCall.class)).hasSize(1);
  }

  @Test
  void servesAnAnonymousRouteWithoutAnAccountToCallersWithUnknownKeys() {
    start(accounts(KEY_A), true);
    fixture.callWith(Credential.ofKey(new KeyDigest("c".repeat(64))), PATH);
    ForwardCall anonymous = fixture.take(ForwardCall.class).get(0);
    assertThat(anonymous.caller().account()).isEqualTo(Optional.empty());
    assertThat(anonymous.caller().accountsInUse()).isTrue();
  }

  @Test
  void asksForNoKeyWithoutAConfigurationOrWithoutAccounts() {
    fixture.callWith(Credential.ABSENT, PATH);
    assertThat(fixture.take(ReplyToCall.class).get(0).reply()).isEqualTo(Reply.NO_CONFIGURATION);
    start(AccountTable.NONE, false);
    fixture.callWith(Credential.ABSENT, PATH);
    assertThat(fixture.take(ForwardCall.class).get(0).caller().accountsInUse()).isFalse();
  }

  @Test
  void givesThePriorityOfTheAccountPrecedenceOverThatOfTheRoute() {
    start(accounts(KEY_A), false);
    fixture.callWith(Credential.ofKey(KEY_A), PATH);
    assertThat(fixture.take(ForwardCall.class).get(0).priority()).isEqualTo(0);
    fixture.callWith(Credential.ofKey(KEY_B), PATH);
    assertThat(fixture.take(ForwardCall.class).get(0).priority()).isEqualTo(1);
  }

  @Test
  void namesTheAccountButNoKeyInDecisionsAndTexts() {
    start(accounts(KEY_A), false);
    fixture.callWith(Credential.ofKey(KEY_A), PATH);
    String texts =
        fixture.take(RecordDecision.class) + " " + accounts(KEY_A) + Credential.ofKey(KEY_A);
    assertThat(texts).contains("account-a");
    assertThat(texts).doesNotContain(KEY_A.hex());
  }

  @Test
  void countsTheDefaultTokensOfARequestThatStatesNone() {
    Allowance tokens = new Allowance(100, 100, AllowanceUnit.TOKENS, 200);
    assertThat(tokens.cost(OptionalLong.of(1_540))).isEqualTo(1_540);
    assertThat(tokens.cost(OptionalLong.empty())).isEqualTo(200);
    assertThat(Allowance.UNLIMITED.cost(OptionalLong.of(1_540))).isEqualTo(1);
  }
}
