package org.limpetdoor.format.record;

import static org.limpetdoor.format.record.RecordFields.lowerCaseName;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.agreed.EngineAccount;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.MemoryLedger;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;

/** Encodes and decodes the accounts of the memory ledger. */
final class LedgerCodec {
  private LedgerCodec() {}

  static List<Map<String, Object>> encode(MemoryLedger ledger) {
    return ledger.accounts().entrySet().stream()
        .map(entry -> encode(entry.getKey(), entry.getValue()))
        .toList();
  }

  static Map<BackendId, EngineAccount> decode(List<RecordFields> entries) {
    Map<BackendId, EngineAccount> accounts = new HashMap<>();
    for (RecordFields entry : entries) {
      accounts.put(new BackendId(entry.text("engine")), decodeAccount(entry));
    }
    return accounts;
  }

  private static Map<String, Object> encode(BackendId engine, EngineAccount account) {
    return Map.of(
        "engine", engine.value(),
        "bookings", account.bookings().entrySet().stream().map(LedgerCodec::encode).toList(),
        "unpriced", account.unsized().stream().map(ModelId::value).toList(),
        "pending", account.pending().stream().map(LedgerCodec::encode).toList(),
        "changedOffset", account.changedOffset());
  }

  private static Map<String, Object> encode(Map.Entry<ModelId, Integer> booking) {
    return Map.of("model", booking.getKey().value(), "memoryMib", booking.getValue());
  }

  private static Map<String, Object> encode(Intent intent) {
    return Map.of(
        "id", intent.id(),
        "offset", intent.offset(),
        "model", intent.model().value(),
        "memoryMib", intent.memoryMib(),
        "action", lowerCaseName(intent.action()));
  }

  private static EngineAccount decodeAccount(RecordFields fields) {
    PMap<ModelId, Integer> bookings = HashTreePMap.empty();
    for (RecordFields booking : fields.maps("bookings")) {
      bookings = bookings.plus(new ModelId(booking.text("model")), booking.integer("memoryMib"));
    }
    return new EngineAccount(
        bookings,
        HashTreePSet.from(fields.texts("unpriced", ModelId::new)),
        fields.maps("pending").stream().findFirst().map(LedgerCodec::decodeIntent),
        fields.number("changedOffset"));
  }

  private static Intent decodeIntent(RecordFields fields) {
    return new Intent(
        fields.text("id"),
        fields.number("offset"),
        new ModelId(fields.text("model")),
        fields.integer("memoryMib"),
        fields.enumConstant("action", PlacementAction.class));
  }
}
