package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.limpetdoor.core.gateway.account.AccountTable.AccountKeys;
import org.limpetdoor.core.gateway.account.Allowance;
import org.limpetdoor.core.gateway.account.AllowanceUnit;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.id.KeyDigest;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes client accounts. Keys are sent as digests only. */
final class AccountTableCodec {
  private AccountTableCodec() {}

  static void pack(MessageBufferPacker packer, AccountTable table) throws IOException {
    packer.packBoolean(table.inUse());
    if (table.inUse()) {
      Values.packList(packer, accountKeys(table), AccountTableCodec::packAccount);
    }
  }

  static AccountTable unpack(MessageUnpacker unpacker) throws IOException {
    return unpacker.unpackBoolean()
        ? AccountTable.of(Values.unpackList(unpacker, AccountTableCodec::unpackAccount))
        : AccountTable.NONE;
  }

  private static List<AccountKeys> accountKeys(AccountTable table) {
    Map<ClientAccount, List<KeyDigest>> keys = new LinkedHashMap<>();
    table.all().forEach(account -> keys.put(account, new ArrayList<>()));
    table.byKey().forEach((key, account) -> keys.get(account).add(key));
    return keys.entrySet().stream()
        .map(entry -> new AccountKeys(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static void packAccount(MessageBufferPacker packer, AccountKeys entry)
      throws IOException {
    ClientAccount account = entry.account();
    packer.packString(account.name());
    packer.packBoolean(account.priority().isPresent());
    packer.packInt(account.priority().orElse(0));
    packer.packDouble(account.allowance().ratePerS());
    packer.packDouble(account.allowance().burst());
    packer.packInt(account.allowance().unit().ordinal());
    packer.packDouble(account.allowance().defaultTokens());
    Values.packList(packer, entry.keys(), (writer, key) -> writer.packString(key.hex()));
  }

  private static AccountKeys unpackAccount(MessageUnpacker unpacker) throws IOException {
    String name = unpacker.unpackString();
    boolean hasPriority = unpacker.unpackBoolean();
    int priority = unpacker.unpackInt();
    Allowance allowance =
        new Allowance(
            unpacker.unpackDouble(),
            unpacker.unpackDouble(),
            Values.constant(unpacker, AllowanceUnit.values()),
            unpacker.unpackDouble());
    List<KeyDigest> keys =
        Values.unpackList(unpacker, reader -> new KeyDigest(reader.unpackString()));
    return new AccountKeys(
        new ClientAccount(
            name, hasPriority ? OptionalInt.of(priority) : OptionalInt.empty(), allowance),
        keys);
  }
}
