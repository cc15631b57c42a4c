package org.limpetdoor.entry.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes a byte stream into server-sent events. Emits complete events only, so that an event
 * truncated by a lost connection is never relayed.
 */
final class SseDecoder {
  /** Maximum size of an event; keeps a faulty back end from exhausting the memory. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private String name = "message";
  private StringBuilder data = new StringBuilder();
  private boolean hasData;
  private boolean afterCarriageReturn;

  /** A decoded server-sent event. */
  record SseEvent(String name, String data) {}

  /** Thrown for an event above the maximum size. */
  static final class EventTooLongException extends org.limpetdoor.core.LimpetdoorException {
    private static final long serialVersionUID = 1L;

    EventTooLongException() {
      super("server-sent event exceeds " + MAX_EVENT_BYTES + " bytes", null);
    }
  }

  /** Decodes the next bytes and returns the events that they complete. */
  List<SseEvent> decode(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    for (byte b : bytes) {
      decodeByte(b, events);
    }
    return events;
  }

  private void decodeByte(byte b, List<SseEvent> events) {
    boolean completesCrLf = afterCarriageReturn && b == '\n';
    afterCarriageReturn = b == '\r';
    if (completesCrLf) {
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
      data.append(hasData ? "\n" : "").append(fieldValue(text));
      hasData = true;
    } else if (text.startsWith("event:")) {
      name = fieldValue(text);
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

  private static String fieldValue(String line) {
    String value = line.substring(line.indexOf(':') + 1);
    return value.startsWith(" ") ? value.substring(1) : value;
  }
}
