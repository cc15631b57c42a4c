import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts gateways as the deploy file does, with settings rendered from its template, and keeps the
 * record of a case. All addresses are loopback addresses.
 */
final class Lab implements AutoCloseable {
  static final int EXIT_HELD = 0;
  static final int EXIT_BROKEN = 1;
  static final int EXIT_NOT_RUN = 2;

  private static final Path ROOT = Path.of("").toAbsolutePath();
  private static final long START_NS = System.nanoTime();
  private static final int FIRST_ADDRESS = 11;

  private final PrintWriter record;
  private final Path directory;
  private final List<Gateway> gateways = new ArrayList<>();
  private final String network = "127." + (20 + ProcessHandle.current().pid() % 200) + ".7.";

  Lab(Path folder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    directory = Files.createTempDirectory("review");
  }

  /** A gateway process. */
  record Gateway(String name, String address, int callerPort, int readyPort, Process process) {
    boolean alive() {
      return process.isAlive();
    }
  }

  /** Returns whether the disruption is to be left out. */
  static boolean withoutTrouble() {
    return "0".equals(System.getenv("TROUBLE"));
  }

  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NS);
  }

  static void sleepMs(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  synchronized void note(String text) {
    record.printf("%9.3f s  %s%n", nowMs() / 1_000.0, text);
    record.flush();
  }

  /** Returns a loopback address of this run; each number is one machine. */
  String machine(int number) {
    return network + number;
  }

  static int freePort(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return socket.getLocalPort();
    }
  }

  /** Starts a gateway with the command of the deploy file, on an address of its own. */
  Gateway startGateway(int number, String zone, String store) throws IOException {
    String address = machine(FIRST_ADDRESS + number);
    int callers = freePort(address);
    int ready = freePort(address);
    Map<String, String> values = new LinkedHashMap<>();
    values.put("nodeName", quoted("frontend-" + number));
    values.put("zone", quoted(zone));
    values.put("region", quoted("region"));
    values.put("ipAddress", quoted(address));
    values.put("listenAddresses.frontend", quoted(address + ":" + callers));
    values.put("listenAddresses.ready", quoted(address + ":" + ready));
    values.put("internalPortRange.0", Integer.toString(freePort(address)));
    values.put("limits.cpuQuota", "0.75");
    values.put("platform.address", quoted(store));
    values.put("bounds.gracePeriodS", "8");
    values.put("bounds.retryBudgetRatio", "0.2");
    values.put("bounds.retryBudgetSlack", "58");
    values.put("bounds.drainTimeoutMs", "2000");
    values.put("bounds.contactTimeoutMs", "3000");
    values.put("bounds.leaseDurationMs", "3000");
    values.put("bounds.fencingEnforced", "true");
    Path settings = directory.resolve("settings-" + number + ".json");
    Files.writeString(settings, render(Files.readString(ROOT.resolve("deploy/settings.json")), values));
    ProcessBuilder builder = new ProcessBuilder(runCommand());
    builder.directory(ROOT.toFile());
    builder.environment().put(Wire.name("settingsVariable"), settings.toString());
    Path log = directory.resolve("gateway-" + number + ".log");
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Gateway gateway =
        new Gateway("frontend-" + number, address, callers, ready, builder.start());
    gateways.add(gateway);
    note("started " + gateway.name() + " on " + address + ":" + callers);
    return gateway;
  }

  /** Waits until a gateway says that it is ready. */
  boolean awaitReady(Gateway gateway, long timeoutMs) {
    long endMs = nowMs() + timeoutMs;
    while (nowMs() < endMs && gateway.alive()) {
      try (Http.Connection connection = Http.connect(gateway.address(), gateway.readyPort())) {
        connection.send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        if (connection.readResponse(1_000).status() == 200) {
          note(gateway.name() + " is ready");
          return true;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      sleepMs(100);
    }
    return false;
  }

  /** Returns the lines of a gateway's log that contain a text. */
  List<String> logLines(Gateway gateway, String text) throws IOException {
    Path log = directory.resolve(gateway.name().replace("frontend", "gateway") + ".log");
    try (var lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  private static List<String> runCommand() throws IOException {
    String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run command");
    }
    return Arrays.asList(run.group(1).split(" +"));
  }

  private static String render(String template, Map<String, String> values) {
    String text = template;
    for (Map.Entry<String, String> value : values.entrySet()) {
      String name = Pattern.quote(value.getKey());
      text = text.replaceAll("(?s)\\{\\{\\^" + name + "}}.*?\\{\\{/" + name + "}}", "");
      String body = value.getValue().equals("false") ? "" : "$1";
      text = text.replaceAll("(?s)\\{\\{#" + name + "}}(.*?)\\{\\{/" + name + "}}", body);
      text = text.replace("{{" + value.getKey() + "|json}}", value.getValue());
    }
    return text;
  }

  static String quoted(String text) {
    return '"' + text + '"';
  }

  /** Ends all processes that were started, by their handles. */
  @Override
  public void close() throws IOException {
    for (Gateway gateway : gateways) {
      gateway.process().destroyForcibly();
    }
    for (Gateway gateway : gateways) {
      try {
        gateway.process().waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    record.close();
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        if (System.getenv("KEEP") == null) {
          Files.delete(file);
        }
      }
    }
    if (System.getenv("KEEP") == null) {
      Files.delete(directory);
    } else {
      System.err.println("kept " + directory);
    }
  }
}
