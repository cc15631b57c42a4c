package org.limpetdoor.entry.traffic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.entry.traffic.SseDecoder.SseEvent;

/** Verifies the decoding of a byte stream into server-sent events. */
final class SseDecoderTest {
  private static final byte[] STREAM =
      ": comment\r\ndata: grün\r\n\r\nevent: error\ndata: a\ndata:b\n\ndata: cut".getBytes(UTF_8);

  /** Guards against events that depend on how the network splits the stream. */
  @Test
  void eventsDoNotDependOnSplits() {
    for (int split = 0; split <= STREAM.length; split++) {
      SseDecoder decoder = new SseDecoder();
      List<SseEvent> events = new ArrayList<>();
      events.addAll(decoder.decode(Arrays.copyOfRange(STREAM, 0, split)));
      events.addAll(decoder.decode(Arrays.copyOfRange(STREAM, split, STREAM.length)));

      assertThat(events)
          .containsExactly(new SseEvent("message", "grün"), new SseEvent("error", "a\nb"))
          .inOrder();
    }
  }
}
