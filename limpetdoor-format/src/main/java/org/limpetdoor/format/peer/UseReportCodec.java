package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.Map;
import org.limpetdoor.core.limits.AccountRates;
import org.limpetdoor.core.limits.UseReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Encodes reports of the use of accounts as a map from the name of an account to its rates. The
 * number of instances stands under the empty name, so that a report without accounts is an empty
 * map. Rates are written in single precision, which is exact to 1 in 10 million.
 */
final class UseReportCodec {
  private static final String INSTANCES_NAME = "";

  private UseReportCodec() {}

  static void pack(MessageBufferPacker packer, UseReport report) throws IOException {
    if (report.instances() == 0) {
      packer.packMapHeader(0);
      return;
    }
    packer.packMapHeader(report.byAccount().size() + 1);
    packer.packString(INSTANCES_NAME);
    packer.packInt(report.instances());
    for (Map.Entry<String, AccountRates> entry : report.byAccount().entrySet()) {
      packer.packString(entry.getKey());
      packer.packFloat((float) entry.getValue().offeredPerS());
      packer.packFloat((float) entry.getValue().admittedPerS());
    }
  }

  /**
   * Reads a report.
   *
   * @throws MalformedFrameException if a number is out of range
   */
  static UseReport unpack(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    int instances = 0;
    PMap<String, AccountRates> byAccount = HashTreePMap.empty();
    for (int i = 0; i < size; i++) {
      String name = unpacker.unpackString();
      if (name.equals(INSTANCES_NAME)) {
        instances = unpacker.unpackInt();
      } else {
        byAccount = byAccount.plus(name, new AccountRates(rate(unpacker), rate(unpacker)));
      }
    }
    if (instances < 0 || (instances == 0 && size > 0)) {
      throw new MalformedFrameException("a positive number of instances", null);
    }
    return new UseReport(instances, byAccount);
  }

  /** Reads a rate. A negative or infinite one would make the sums of all accounts unusable. */
  private static double rate(MessageUnpacker unpacker) throws IOException {
    double rate = unpacker.unpackFloat();
    if (!(rate >= 0 && rate < Double.POSITIVE_INFINITY)) {
      throw new MalformedFrameException("a rate of at least 0", null);
    }
    return rate;
  }
}
