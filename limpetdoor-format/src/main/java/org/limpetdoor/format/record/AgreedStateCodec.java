package org.limpetdoor.format.record;

import java.util.List;
import java.util.Map;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.ConfigurationHead;
import org.limpetdoor.core.agreed.Lease;
import org.limpetdoor.core.agreed.Leases;
import org.limpetdoor.core.agreed.LimitEpoch;
import org.limpetdoor.core.agreed.MemoryLedger;
import org.limpetdoor.core.agreed.Sequences;
import org.limpetdoor.core.agreed.Sequences.LastAppend;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.format.configuration.ConfigurationWriter;
import org.limpetdoor.format.configuration.PatchReader;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * Encodes and decodes the agreed state. Indexes are not encoded but recomputed when a snapshot is
 * decoded, so that they are always consistent with the data.
 */
final class AgreedStateCodec {
  private AgreedStateCodec() {}

  static Map<String, Object> encode(AgreedState state) {
    ConfigurationPatch patch = ConfigurationPatch.of(state.configuration());
    return Map.of(
        "nextOffset", state.nextOffset(),
        "version", state.configurationVersion(),
        "configuration", ConfigurationWriter.write(patch),
        "sequences", encode(state.sequences()),
        "leases", encode(state.leases()),
        "accounts", LedgerCodec.encode(state.ledger()),
        "claims", ClaimsCodec.encode(state.claims()),
        "nextClaimOrdinal", state.claims().nextOrdinal(),
        "limitEpoch", state.limitEpoch().epoch(),
        "limitMembers", state.limitEpoch().members().stream().map(InstanceId::value).toList());
  }

  static AgreedState decode(RecordFields fields) {
    Configuration configuration =
        PatchReader.read("configuration", fields.text("configuration"))
            .orThrow()
            .applyTo(Configuration.EMPTY);
    return new AgreedState(
        fields.number("nextOffset"),
        new ConfigurationHead(fields.number("version"), configuration),
        decodeSequences(fields.maps("sequences")),
        decodeLeases(fields.maps("leases")),
        MemoryLedger.restored(
            LedgerCodec.decode(fields.maps("accounts")), configuration.engines().keySet()),
        ClaimsCodec.decode(fields.maps("claims"), fields.number("nextClaimOrdinal")),
        new LimitEpoch(fields.number("limitEpoch"), fields.texts("limitMembers", InstanceId::new)),
        false);
  }

  private static List<Map<String, Object>> encode(Sequences sequences) {
    return sequences.byAppender().entrySet().stream()
        .map(
            entry ->
                Map.<String, Object>of(
                    "appender", entry.getKey(),
                    "sequence", entry.getValue().sequence(),
                    "offset", entry.getValue().offset()))
        .toList();
  }

  private static Sequences decodeSequences(List<RecordFields> entries) {
    PMap<String, LastAppend> byAppender = HashTreePMap.empty();
    TreePMap<Long, String> byOffset = TreePMap.empty();
    for (RecordFields entry : entries) {
      String appender = entry.text("appender");
      LastAppend last = new LastAppend(entry.number("sequence"), entry.number("offset"));
      byAppender = byAppender.plus(appender, last);
      byOffset = byOffset.plus(last.offset(), appender);
    }
    return new Sequences(byAppender, byOffset);
  }

  private static List<Map<String, Object>> encode(Leases leases) {
    return leases.byShard().entrySet().stream()
        .map(entry -> encode(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static Map<String, Object> encode(int shard, Lease lease) {
    return Map.of(
        "shard", shard,
        "epoch", lease.epoch(),
        "holders", lease.holder().stream().map(InstanceId::value).toList(),
        "ttlMs", lease.ttlMs(),
        "heardOffset", lease.lastRecordOffset());
  }

  private static Leases decodeLeases(List<RecordFields> entries) {
    PMap<Integer, Lease> byShard = HashTreePMap.empty();
    for (RecordFields entry : entries) {
      Lease lease =
          new Lease(
              entry.number("epoch"),
              entry.texts("holders", InstanceId::new).stream().findFirst(),
              entry.number("ttlMs"),
              entry.number("heardOffset"));
      byShard = byShard.plus(entry.integer("shard"), lease);
    }
    return new Leases(byShard);
  }
}
