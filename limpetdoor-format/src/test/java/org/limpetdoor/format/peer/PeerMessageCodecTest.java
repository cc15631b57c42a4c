package org.limpetdoor.format.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.gateway.CallKind;
import org.limpetdoor.core.gateway.CrashReport;
import org.limpetdoor.core.gateway.EngineEntry;
import org.limpetdoor.core.gateway.EngineListing;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.gateway.Route;
import org.limpetdoor.core.gateway.Route.WeightedService;
import org.limpetdoor.core.gateway.RouteTable;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.core.gateway.ServiceSpec;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.gateway.ServiceSpec.ModelSpec;
import org.limpetdoor.core.gateway.StorePosition;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.AccountTable.AccountKeys;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.AllowanceUnit;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.limits.AccountRates;
import org.limpetdoor.core.limits.UseReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;
import org.limpetdoor.core.membership.PeerMessage.EnginesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.FactsRequested;
import org.limpetdoor.core.membership.PeerMessage.Heartbeat;
import org.limpetdoor.core.membership.PeerMessage.InstancesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.Leaving;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;
import org.limpetdoor.core.membership.PeerMessage.ModelRequested;
import org.limpetdoor.core.membership.PeerMessage.RoutesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;

class PeerMessageCodecTest {
  private static final List<PeerMessage> MESSAGES =
      List.of(
          new Heartbeat(3, -1),
          new Leaving(),
          new LoadDigest(
              DigestScope.GROUP,
              new DigestTimes(123, 456),
              new StoreFacts(7, new StorePosition(3, 99), true, 250),
              41,
              HashTreePMap.singleton(new BackendId("g1"), 3),
              HashTreePMap.singleton(new BackendId("g2"), 74),
              HashTreePSet.singleton(ModelKey.of("m1", "a2")),
              HashTreePMap.singleton(ModelKey.of("m1", "a1"), 2),
              new UseReport(12, HashTreePMap.singleton("acme", new AccountRates(5_000.5, 250))),
              List.of(
                  new CrashReport(-5, List.of(new CrashReport.Loss(9, 30, 10)), true, 40),
                  new CrashReport(6, List.of(), false, CrashReport.NOT_ANSWERED))),
          new DutyReleased(41),
          new DutyHandedOver(42),
          new ModelRequested("llm", ModelKey.of("m1")),
          new FactsRequested(7, new StorePosition(3, 99), true),
          new RoutesPassedOn(routes()),
          new EnginesPassedOn(
              new EngineListing(
                  3,
                  5,
                  9,
                  List.of(
                      new EngineEntry(
                          new BackendId("g1"),
                          "llm",
                          "10.0.0.1:80",
                          new ZoneId("z"),
                          16,
                          true,
                          1_700_000_000_000L,
                          4,
                          HashTreePSet.singleton(ModelKey.of("m1", "a1")),
                          HashTreePSet.singleton("m2"))),
                  List.of(new BackendId("g2")),
                  false)),
          new InstancesPassedOn(
              List.of(
                  new ListedInstance(
                      new InstanceId("n1"), "10.0.1.1:80", new ZoneId("z"), "r", false, 0.36))),
          new LoadedModelChanged(new BackendId("g1"), 1, 9, ModelKey.of("m1", "a1"), true));

  private static RouteTable routes() {
    Route route =
        new Route(
            "r",
            "host",
            "/p/",
            CallKind.STREAM,
            10_000,
            300,
            2,
            1,
            true,
            150,
            true,
            List.of(new WeightedService("llm", 3)));
    EngineSpec engine =
        new EngineSpec(
            1_000, 83_000, 8, 2.5, HashTreePMap.singleton("m1", new ModelSpec("m1", 1, 2, 3, 4)));
    return RouteTable.of(
        7,
        List.of(route),
        List.of(
            new ServiceSpec("llm", 100, Optional.of(engine)),
            new ServiceSpec("plain", 50, Optional.empty())),
        new CallerLimits(1, 2, 3, 4),
        AccountTable.of(
            List.of(
                new AccountKeys(
                    new ClientAccount(
                        "account-a",
                        OptionalInt.of(3),
                        new Allowance(100, 50, AllowanceUnit.TOKENS, 20)),
                    List.of(new KeyDigest("a".repeat(64)), new KeyDigest("b".repeat(64)))),
                new AccountKeys(
                    new ClientAccount("account-b", OptionalInt.empty(), Allowance.UNLIMITED),
                    List.of()))));
  }

  /** Guards against fields that are encoded and decoded in different orders. */
  @Test
  void messagesRoundTrip() {
    for (PeerMessage message : MESSAGES) {
      assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message))).isEqualTo(message);
    }
  }

  /** Guards against an untyped exception, which would reach the traffic thread. */
  @Test
  void rejectsTruncatedAndUnknownFrames() {
    for (PeerMessage message : MESSAGES) {
      byte[] bytes = PeerMessageCodec.encode(message);
      byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
      assertThrows(MalformedFrameException.class, () -> PeerMessageCodec.decode(truncated));
    }
    assertThrows(MalformedFrameException.class, () -> PeerMessageCodec.decode(new byte[] {99}));
  }

  private static byte[] encodedWith(UseReport use) {
    return PeerMessageCodec.encode(
        new LoadDigest(
            DigestScope.GROUP,
            new DigestTimes(0, 0),
            new StoreFacts(0, new StorePosition(0, 0), true, 0),
            0,
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePSet.empty(),
            HashTreePMap.empty(),
            use,
            List.of()));
  }

  /** Guards against digests that grow by more than an empty map without limited accounts. */
  @Test
  void aDigestWithoutLimitedAccountsHasAnEmptyMapForTheirUse() {
    int bytesOfOtherFields = 15;
    assertThat(encodedWith(UseReport.NONE)).hasLength(bytesOfOtherFields + 1);
  }

  /** Guards against a forged rate, which would make the sums of an account unusable. */
  @Test
  void rejectsRatesThatAreNoAmounts() {
    for (double rate : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
      UseReport use = new UseReport(1, HashTreePMap.singleton("acme", new AccountRates(rate, 0)));
      assertThrows(MalformedFrameException.class, () -> PeerMessageCodec.decode(encodedWith(use)));
    }
  }
}
