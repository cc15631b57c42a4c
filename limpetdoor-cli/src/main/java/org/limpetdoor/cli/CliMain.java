package org.limpetdoor.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.runtime.log.HttpLogService;

/** Entry point of the command line for operators. */
public final class CliMain {
  private static final int RETRY_DELAY_MS = 500;

  private final Cli<CliCommand> cli =
      Cli.<CliCommand>builder("limpetdoor")
          .withDescription("Publishes the configuration of limpetdoor and shows its instances")
          .withCommand(HelpCommand.class)
          .withCommand(ValidateCommand.class)
          .withCommand(DiffCommand.class)
          .withCommand(PublishCommand.class)
          .withCommand(RollForwardCommand.class)
          .withCommand(HistoryCommand.class)
          .withCommand(StatusCommand.class)
          .withCommand(ExplainCommand.class)
          .withCommand(ExplainLogsCommand.class)
          .withCommand(DrainCommand.class)
          .withCommand(KeyDigestCommand.class)
          .build();

  private final CliContext context;
  private final ReportPrinter printer;

  CliMain(CliContext context, PrintStream out, PrintStream err) {
    this.context = context;
    this.printer = new ReportPrinter(out, err);
  }

  /** Runs one command and exits with the status of its {@link ExitCode}. */
  public static void main(String[] args) {
    System.exit(run(System.in, System.out, System.err, args).status());
  }

  /** Runs one command in this process, for programs that contain the command line. */
  public static ExitCode run(InputStream in, PrintStream out, PrintStream err, String... args) {
    CliContext context =
        new CliContext(
            in,
            HttpLogService::new,
            () -> "cli:" + UUID.randomUUID(),
            HttpOperatorService::new,
            err::println,
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            RETRY_DELAY_MS);
    return new CliMain(context, out, err).execute(args);
  }

  ExitCode execute(String... args) {
    CliCommand command;
    try {
      // A default command would treat an unknown command as its argument.
      command = args.length == 0 ? cli.parse("help") : cli.parse(withoutHelpOption(args));
    } catch (ParseException e) {
      return printer.print(Report.failed(ExitCode.USAGE, e.getMessage()), isJson(args));
    }
    return printer.print(report(command), command.isJson());
  }

  // The parser would report missing arguments before showing the help of a command.
  private static String[] withoutHelpOption(String... args) {
    if (!Arrays.asList(args).contains("--help")) {
      return args;
    }
    List<String> help = new ArrayList<>();
    help.add("help");
    if (!args[0].startsWith("-")) {
      help.add(args[0]);
    }
    if (isJson(args)) {
      help.add("--json");
    }
    return help.toArray(String[]::new);
  }

  // After a failure, the parser does not report which options it has read.
  private static boolean isJson(String... args) {
    return Arrays.asList(args).contains("--json");
  }

  private Report report(CliCommand command) {
    try {
      return command.run(context);
    } catch (RuntimeException e) {
      return FailureReports.of(e);
    }
  }
}
