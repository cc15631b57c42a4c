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

  /** Guards against an event that is passed on in part and then repeated by another engine. */
  @Test
  void holdsTheRestOfAnEventBack() {
    assertThat(split("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.lastId()).isEqualTo(Optional.of("1"));
    assertThat(splitter.hasIncompleteEvent()).isTrue();
    assertThat(split("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(splitter.lastId()).isEqualTo(Optional.of("2"));
    assertThat(splitter.hasIncompleteEvent()).isFalse();
  }

  /** Guards against a border that is not seen when it arrives byte by byte. */
  @Test
  void findsBordersAcrossParts() {
    StringBuilder wholeEvents = new StringBuilder();
    for (char c : "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n".toCharArray()) {
      wholeEvents.append(split(String.valueOf(c)));
    }
    assertThat(wholeEvents.toString()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n");
  }

  /** Guards against an identifier that is taken from the data of an event. */
  @Test
  void takesIdentifiersFromFieldsOnly() {
    split("id: 4\ndata: id: 9\n\n");

    assertThat(splitter.lastId()).isEqualTo(Optional.of("4"));
  }

  /** Guards against a lost identifier when the last events have none. */
  @Test
  void keepsTheLastIdentifierWhenTheFirstLineIsAnotherField() {
    split("version: 3\nid: 5\ndata: x\n\ndata: y\n\n");

    assertThat(splitter.lastId()).isEqualTo(Optional.of("5"));
  }
}
