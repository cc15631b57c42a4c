package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
  private final EventSplitter splitter = new EventSplitter();

  private String split(String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    ByteBuf events = splitter.split(bytes);
    String wholeEvents = events.toString(StandardCharsets.UTF_8);
    events.release();
    bytes.release();
    return wholeEvents;
  }

  /** Guards against relaying part of an event, which another engine then repeats from its start. */
  @Test
  void holdsBackIncompleteEvents() {
    assertThat(split("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.ids()).containsExactly(Optional.of("1"));
    assertThat(splitter.hasIncompleteEvent()).isTrue();
    assertThat(split("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(splitter.ids()).containsExactly(Optional.of("2"));
    assertThat(splitter.hasIncompleteEvent()).isFalse();
  }

  /** Guards against an event boundary that is missed when its bytes arrive separately. */
  @Test
  void findsEventBoundariesAcrossReads() {
    StringBuilder wholeEvents = new StringBuilder();
    for (char c : "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n".toCharArray()) {
      wholeEvents.append(split(String.valueOf(c)));
    }
    assertThat(wholeEvents.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n");
  }

  /** Guards against reading an identifier from the data of an event. */
  @Test
  void readsIdentifiersFromIdFieldsOnly() {
    split("id: 4\ndata: id: 9\n\n");

    assertThat(splitter.ids()).containsExactly(Optional.of("4"));
  }

  /** Guards against giving the identifier of an event to another one. */
  @Test
  void readsTheIdentifierOfEachEvent() {
    split("version: 3\nid: 5\ndata: x\n\ndata: y\n\n\r\nid: 7\r\ndata: z\r\n\r\nid: 8\n");

    assertThat(splitter.ids())
        .containsExactly(Optional.of("5"), Optional.empty(), Optional.of("7"))
        .inOrder();
  }
}
