package org.limpetdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Shows the decisions about one request. */
@Command(name = "explain", description = "Shows the decisions about one request in order")
@ExitCodes({ExitCode.INSTANCE_UNAVAILABLE, ExitCode.INSTANCE_REFUSED, ExitCode.UNKNOWN_REQUEST})
public final class ExplainCommand extends InstanceCommand {
  private static final String REPORT_AGE = "report_age_ms";
  private static final String NO_REPORT = "-1";

  @Arguments(title = "REQUEST", description = "Identifier of the request")
  @Required
  private String request;

  @Override
  Report run(CliContext context) {
    JsonNode decisions = openInstance(context).explain(request);
    List<String> lines = new ArrayList<>();
    lines.add("request " + request);
    decisions.forEach(decision -> lines.add(line(lines.size(), decision)));
    return Report.ok(lines, Map.of("request", request, "decisions", decisions));
  }

  private static String line(int number, JsonNode decision) {
    StringBuilder line = new StringBuilder(number + ". " + decision.path("event").asText("-"));
    for (Map.Entry<String, JsonNode> field : decision.properties()) {
      String value = field.getValue().asText();
      switch (field.getKey()) {
        case "event", "request" -> {}
        case REPORT_AGE -> line.append(reportAge(value));
        default -> line.append(' ').append(field.getKey()).append('=').append(value);
      }
    }
    return line.toString();
  }

  private static String reportAge(String value) {
    return NO_REPORT.equals(value)
        ? "; no load report was known"
        : "; the load report used was " + value + " ms old";
  }
}
