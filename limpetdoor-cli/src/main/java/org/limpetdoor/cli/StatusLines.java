package org.limpetdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Formats the state of an instance as text lines. */
final class StatusLines {
  private StatusLines() {}

  static List<String> of(String address, JsonNode status) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "instance %s at %s zone %s ready %s draining %s"
            .formatted(
                text(status, "instance"),
                address,
                text(status, "zone"),
                text(status, "ready"),
                text(status, "draining")));
    lines.add(
        "  configuration version %s, next offset %s, open requests %s"
            .formatted(
                text(status, "configurationVersion"),
                text(status, "nextOffset"),
                text(status, "openRequests")));
    section(lines, status, "backends", "back end");
    section(lines, status, "queues", "queue");
    section(lines, status, "limits", "limits");
    return lines;
  }

  private static void section(List<String> lines, JsonNode status, String field, String title) {
    for (Map.Entry<String, JsonNode> entry : status.path(field).properties()) {
      StringBuilder line = new StringBuilder("  " + title + " " + entry.getKey());
      for (Map.Entry<String, JsonNode> value : entry.getValue().properties()) {
        line.append(' ').append(value.getKey()).append('=').append(value.getValue().asText());
      }
      lines.add(line.toString());
    }
  }

  private static String text(JsonNode status, String field) {
    return status.path(field).asText("-");
  }
}
