package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetdoor.format.json.ValueTypes;

/** Describes the commands. */
@Command(name = "help", description = "Describes the commands")
public final class HelpCommand extends CliCommand {
  @AirlineModule private GlobalMetadata<CliCommand> global;

  @Arguments(title = "COMMAND", description = "Command to describe")
  private List<String> names = new ArrayList<>();

  @Override
  Report run(CliContext context) {
    requireKnownCommands();
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      Help.help(global, names, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    String help = text.toString(StandardCharsets.UTF_8) + exitCodes();
    return Report.ok(help.lines().toList(), Map.of("help", help));
  }

  private String exitCodes() {
    StringBuilder text = new StringBuilder();
    for (CommandMetadata command : global.getDefaultGroupCommands()) {
      if (names.contains(command.getName())) {
        text.append("EXIT CODES\n");
        exitCodes(command.getType()).forEach(code -> text.append(line(code)));
      }
    }
    return text.toString();
  }

  private static Set<ExitCode> exitCodes(Class<?> command) {
    Set<ExitCode> codes = EnumSet.of(ExitCode.OK, ExitCode.INTERNAL, ExitCode.USAGE);
    ExitCodes exits = command.getAnnotation(ExitCodes.class);
    if (exits != null) {
      codes.addAll(List.of(exits.value()));
    }
    return codes;
  }

  private static String line(ExitCode code) {
    String name = ValueTypes.lowerCaseName(code);
    String nextStep = code.nextStep().isEmpty() ? "" : ": " + code.nextStep();
    return "        " + code.status() + " " + name + nextStep + "\n";
  }

  private void requireKnownCommands() {
    List<String> known =
        global.getDefaultGroupCommands().stream().map(CommandMetadata::getName).toList();
    if (!known.containsAll(names)) {
      throw new CliException(ExitCode.USAGE, "unknown command in " + names, null);
    }
  }
}
