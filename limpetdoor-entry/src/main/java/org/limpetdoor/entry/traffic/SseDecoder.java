package org.limpetdoor.entry.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a stream into server-sent events. Only whole events come out, so that an
 * event cut off by a lost connection is never passed on.
 */
final class SseDecoder {
  /** Longest event; a longer one would let a faulty back end fill the memory. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private String name = "message";
  private StringBuilder data = new StringBuilder();
  private boolean hasData;
  private boolean afterCarriageReturn;

  /** One event. */
  record SseEvent(String name, String data) {}

  /** Reports an event above the bound. */
  static final class EventTooLongException extends org.limpetdoor.core.LimpetdoorException {
    private static final long serialVersionUID = 1L;

    EventTooLongException() {
      super("server-sent event is longer than " + MAX_EVENT_BYTES + " bytes", null);
    }
  }

  /** Takes the next bytes and returns the events that they complete. */
  List<SseEvent> decode(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    for (byte b : bytes) {
      decodeByte(b, events);
    }
    return events;
  }

  private void decodeByte(byte b, List<SseEvent> events) {
    boolean secondHalfOfLineEnd = afterCarriageReturn && b == '\n';
    afterCarriageReturn = b == '\r';
    if (secondHalfOfLineEnd) {
      return;
    }
    if (b == '\n' || b == '\r') {
      endLine(events);
      return;
    }
    line.write(b);
    if (line.size() + data.length() > MAX_EVENT_BYTES) {
      throw new EventTooLongException();
    }
  }

  private void endLine(List<SseEvent> events) {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent(events);
    } else if (text.startsWith("data:")) {
      data.append(hasData ? "\n" : "").append(value(text));
      hasData = true;
    } else if (text.startsWith("event:")) {
      name = value(text);
    }
  }

  private void endEvent(List<SseEvent> events) {
    if (hasData) {
      events.add(new SseEvent(name, data.toString()));
    }
    name = "message";
    data = new StringBuilder();
    hasData = false;
  }

  private static String value(String line) {
    String value = line.substring(line.indexOf(':') + 1);
    return value.startsWith(" ") ? value.substring(1) : value;
  }
}
