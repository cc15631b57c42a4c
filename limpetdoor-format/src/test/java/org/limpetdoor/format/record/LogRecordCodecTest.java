package org.limpetdoor.format.record;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.ModelId;

final class LogRecordCodecTest {
  private static final Envelope PUBLISHED = published();

  @Test
  void publicationsRoundTrip() {
    assertThat(LogRecordCodec.decode(LogRecordCodec.encode(PUBLISHED))).isEqualTo(PUBLISHED);
  }

  /** Guards against fields that are lost, swapped or truncated to fewer bits. */
  @Test
  void recordsOfEachKindRoundTrip() {
    Set<Class<?>> seen = new HashSet<>();
    for (int seed = 0; seed < 50; seed++) {
      for (LogRecord content : new RandomRecords(seed).ofEachKind()) {
        Envelope envelope = new Envelope(new AppendId("i:1", 1), content);
        assertThat(LogRecordCodec.decode(LogRecordCodec.encode(envelope))).isEqualTo(envelope);
        seen.add(content.getClass());
      }
    }
    Set<Class<?>> kinds = new HashSet<>(List.of(LogRecord.class.getPermittedSubclasses()));
    // The decoder creates these for records that it cannot interpret; they are never encoded.
    kinds.remove(LogRecord.Unknown.class);
    kinds.remove(LogRecord.LaterReaderNeeded.class);
    assertThat(seen).isEqualTo(kinds);
  }

  /** Guards against generated states with empty parts, for which the snapshot test is void. */
  @Test
  void generatedStatesCoverAllParts() {
    List<AgreedState> states =
        IntStream.range(0, 50).mapToObj(seed -> new RandomRecords(seed).state()).toList();
    assertThat(states.stream().anyMatch(s -> !s.ledger().intents().isEmpty())).isTrue();
    assertThat(states.stream().anyMatch(s -> !s.claims().resolved().isEmpty())).isTrue();
    assertThat(states.stream().anyMatch(s -> !s.limitEpoch().members().isEmpty())).isTrue();
    assertThat(states.stream().anyMatch(RandomRecords::hasReleasedLease)).isTrue();
    assertThat(states.stream().anyMatch(RandomRecords::hasUnpricedModel)).isTrue();
  }

  /** Guards against untyped exceptions for damaged records of any kind. */
  @Test
  void damagedRecordsOfEachKindThrowMalformedRecord() {
    Random random = new Random(7);
    for (LogRecord content : new RandomRecords(7).ofEachKind()) {
      byte[] encoded = LogRecordCodec.encode(new Envelope(new AppendId("i:1", 1), content));
      for (int i = 0; i < 500; i++) {
        byte[] damaged = encoded.clone();
        damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
        assertDecodedOrRejected(damaged);
        assertDecodedOrRejected(Arrays.copyOf(encoded, random.nextInt(encoded.length)));
      }
    }
  }

  /** Guards against an untyped exception for a batch within a batch. */
  @Test
  void nestedBatchIsRejected() {
    Map<String, Object> inner = Map.of("kind", "batch", "records", List.of());
    byte[] bytes =
        MessagePackMaps.encode(
            Map.of("kind", "batch", "appender", "a", "sequence", 1L, "records", List.of(inner)));
    assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(bytes));
  }

  /** Guards against a 64-bit number that is silently truncated to 32 bits. */
  @Test
  void numberOutOfRangeIsRejected() {
    Map<String, Object> fields = new HashMap<>(Map.of("kind", "lease-renewed", "epoch", 1L));
    fields.putAll(Map.of("appender", "a", "sequence", 1L, "shard", 1L << 32));
    byte[] bytes = MessagePackMaps.encode(fields);
    assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(bytes));
  }

  /** Guards against a fold that stops at a record of a kind that a later version added. */
  @Test
  void unknownKindsDecodeAsUnknown() {
    byte[] bytes =
        MessagePackMaps.encode(
            Map.of("kind", "later", "appender", "a", "sequence", 7L, "x", List.of(1L, "b")));
    assertThat(LogRecordCodec.decode(bytes))
        .isEqualTo(new Envelope(new AppendId("a", 7), new LogRecord.Unknown("later")));
  }

  /** Guards against encoding an unknown record without the fields that were not decoded. */
  @Test
  void unknownKindsAreNotEncoded() {
    Envelope unknown = new Envelope(new AppendId("a", 1), new LogRecord.Unknown("later"));
    assertThrows(MalformedRecordException.class, () -> LogRecordCodec.encode(unknown));
  }

  /** Guards against allocating a declared size that exceeds the number of bytes. */
  @ParameterizedTest
  @ValueSource(ints = {0xdf, 0xdd, 0xdb, 0xc6, 0xc9})
  void declaredSizesAreChecked(int header) {
    byte[] bytes = {(byte) 0x81, (byte) 0xa1, 'k', (byte) header, 0x7f, -1, -1, -1, 0};
    assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(bytes));
  }

  /** Guards against nesting that overflows the stack. */
  @Test
  void deepNestingIsRejected() {
    byte[] bytes = new byte[100_000];
    Arrays.fill(bytes, (byte) 0x91);
    bytes[0] = (byte) 0x81;
    bytes[1] = (byte) 0xa0;
    assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(bytes));
  }

  /** Guards against untyped exceptions for truncated and damaged records. */
  @Test
  void truncatedAndDamagedRecordsThrowMalformedRecord() {
    byte[] encoded = LogRecordCodec.encode(PUBLISHED);
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThrows(MalformedRecordException.class, () -> LogRecordCodec.decode(truncated));
    }
    Random random = new Random(42);
    for (int i = 0; i < 20_000; i++) {
      byte[] damaged = encoded.clone();
      damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
      damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
      assertDecodedOrRejected(damaged);
    }
  }

  private static void assertDecodedOrRejected(byte[] bytes) {
    try {
      assertThat(LogRecordCodec.decode(bytes)).isNotNull();
    } catch (MalformedRecordException e) {
      assertThat(e).hasMessageThat().contains("malformed log record");
    }
  }

  private static Envelope published() {
    Configuration content =
        Configuration.EMPTY
            .withModels(List.of(new Model(new ModelId("m"), "1", 10, 2, 5)))
            .withLimits(new PlatformLimits(2.5, 1, 1, 1));
    ConfigurationPatch patch = ConfigurationPatch.between(Configuration.EMPTY, content);
    return new Envelope(
        new AppendId("cli:1", 1), new LogRecord.ConfigurationPublished(-1, "operator", patch));
  }
}
