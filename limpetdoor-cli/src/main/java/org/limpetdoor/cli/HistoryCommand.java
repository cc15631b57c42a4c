package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Command;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.decision.ConfigurationDecision;

/** Lists the publications in the log. */
@Command(name = "history", description = "Lists publications and their results")
@ExitCodes({
  ExitCode.LOG_UNAVAILABLE,
  ExitCode.HISTORY_INCOMPLETE,
  ExitCode.LOG_REFUSED,
  ExitCode.LATER_VERSION_NEEDED
})
public final class HistoryCommand extends LogCommand {
  @Override
  Report run(CliContext context) {
    History history = new HistoryLog(openLog(context), context.retryDelayMs()).readAll();
    List<ConfigurationDecision> decisions =
        history.publications().stream().map(History.Publication::decision).toList();
    return Report.ok(
        decisions.stream().map(HistoryCommand::line).toList(),
        Map.of(
            "versionInForce", history.version(),
            "publications", decisions.stream().map(HistoryCommand::fields).toList()));
  }

  private static String line(ConfigurationDecision decision) {
    String result =
        decision.accepted()
            ? "accepted"
            : "rejected, version " + decision.versionInForce() + " was in force";
    return "offset "
        + decision.offset()
        + " base "
        + decision.baseVersion()
        + " publisher "
        + decision.publisher()
        + ": "
        + result;
  }

  private static Map<String, Object> fields(ConfigurationDecision decision) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("offset", decision.offset());
    fields.put("baseVersion", decision.baseVersion());
    fields.put("versionInForce", decision.versionInForce());
    fields.put("publisher", decision.publisher());
    fields.put("accepted", decision.accepted());
    return fields;
  }
}
