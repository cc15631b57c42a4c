package org.limpetdoor.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.format.record.MessagePackMaps;

final class LogRecordsTest {
  private static final String MODEL =
      "{\"id\":\"m\",\"version\":\"1\",\"memoryMib\":1,\"minReplicas\":1,\"longWorkTokens\":5%s}";

  /**
   * Guards against instances of two versions with different states: the older one must not skip a
   * record that the newer one folds, nor fold the records after it.
   */
  @Test
  void foldStopsBeforeARecordThatNeedsALaterReader() {
    AgreedState state = fold(AgreedState.INITIAL, record(0, -1, 1, ""));
    AgreedState stopped = fold(state, record(1, 0, 2, ",\"later\":true"));
    stopped = fold(stopped, record(2, 0, 1, ""));

    assertThat(state.configurationVersion()).isEqualTo(0);
    assertThat(stopped.configurationVersion()).isEqualTo(0);
    assertThat(stopped.nextOffset()).isEqualTo(1);
  }

  /** Guards against an append by another program that stops the fold on all instances. */
  @Test
  void malformedRecordsOfThisReaderVersionAreSkipped() {
    AgreedState state = fold(AgreedState.INITIAL, record(0, -1, 1, ",\"unknown\":true"));
    state = fold(state, new LogService.RawRecord(1, new byte[] {1}));

    assertThat(state.configurationVersion()).isEqualTo(AgreedState.NO_VERSION);
    assertThat(state.nextOffset()).isEqualTo(2);
  }

  private static AgreedState fold(AgreedState state, LogService.RawRecord raw) {
    return state.fold(LogRecords.decode(raw)).state();
  }

  private static LogService.RawRecord record(
      long offset, long baseVersion, long minReaderVersion, String additionalFields) {
    byte[] body =
        MessagePackMaps.encode(
            Map.of(
                "kind",
                "configuration-published",
                "appender",
                "a" + offset,
                "sequence",
                1L,
                "minReaderVersion",
                minReaderVersion,
                "baseVersion",
                baseVersion,
                "publisher",
                "p",
                "patch",
                "{\"models\":[" + MODEL.formatted(additionalFields) + "]}"));
    return new LogService.RawRecord(offset, body);
  }
}
