package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.List;
import org.limpetdoor.core.gateway.CrashReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes evidence of contents that crash engines. */
final class CrashReportCodec {
  private CrashReportCodec() {}

  static void pack(MessageBufferPacker packer, CrashReport report) throws IOException {
    packer.packLong(report.content());
    Values.packList(packer, report.losses(), CrashReportCodec::packLoss);
    packer.packBoolean(report.doubtful());
    packer.packLong(report.answeredAgeMs());
  }

  static CrashReport unpack(MessageUnpacker unpacker) throws IOException {
    long content = unpacker.unpackLong();
    List<CrashReport.Loss> losses = Values.unpackList(unpacker, CrashReportCodec::unpackLoss);
    boolean doubtful = unpacker.unpackBoolean();
    return new CrashReport(content, losses, doubtful, unpacker.unpackLong());
  }

  private static void packLoss(MessageBufferPacker packer, CrashReport.Loss loss)
      throws IOException {
    packer.packLong(loss.id());
    packer.packLong(loss.sentAgeMs());
    packer.packLong(loss.lostAgeMs());
  }

  private static CrashReport.Loss unpackLoss(MessageUnpacker unpacker) throws IOException {
    return new CrashReport.Loss(
        unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
  }
}
