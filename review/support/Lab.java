import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the processes of a case on loopback addresses and ends them. */
final class Lab implements AutoCloseable {
  static final int RULE_BROKEN = 1;
  static final int RULE_HELD = 0;
  static final int NOT_RUN = 2;

  /** Bounds of the small site of the kit, as whole numbers in milliseconds or seconds. */
  static final long CONTACT_TIMEOUT_MS = 3_000;

  static final long GRACE_PERIOD_S = 8;

  private static final long READY_TIMEOUT_MS = 30_000;

  /** Loopback address of this run; the deploy file fixes one port of the gateway. */
  final String ip = "127.77." + (ProcessHandle.current().pid() / 250 % 250) + "."
      + (1 + ProcessHandle.current().pid() % 250);

  final Path folder = Files.createTempDirectory("review");
  final Record record;
  final String recordPath;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final List<Process> started = new ArrayList<>();
  private boolean closed;
  String store;

  Lab(String recordPath) throws IOException {
    Files.deleteIfExists(Path.of(recordPath));
    this.recordPath = recordPath;
    this.record = new Record(recordPath, "driver");
  }

  String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return ip + ":" + socket.getLocalPort();
    }
  }

  private static String freePort(String address) {
    return address.substring(address.lastIndexOf(':') + 1);
  }

  /** Starts the store and publishes a configuration. */
  void startStore(String configuration) throws Exception {
    store = freeAddress();
    javaProcess("Store", store);
    byte[] bytes = configuration.getBytes(StandardCharsets.UTF_8);
    String head = "POST /put?topic=" + Wire.OPERATOR_TOPIC
        + "&key=config HTTP/1.1\r\nContent-Length: " + bytes.length
        + "\r\n\r\n";
    await(() -> Http.call(store, head, bytes, 1_000).complete(), "the store");
  }

  Process startEngine(
      String id, String service, Engine.Mode mode, int answerBytes, String models)
      throws IOException {
    record.line("starts engine " + id);
    return javaProcess("Engine", id, freeAddress(), service, store, mode.name(),
        Integer.toString(answerBytes), models, recordPath);
  }

  /** A gateway that runs. */
  record Gateway(Process process, String callers, String readiness) {
    boolean ready() {
      Http.Response response =
          Http.call(readiness, "GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
              new byte[0], 1_000);
      return response.head() != null && response.head().status() == 200;
    }
  }

  /** Starts a gateway with the command of the deploy file and waits until it is ready. */
  Gateway startGateway(String name) throws Exception {
    String callers = freeAddress();
    String readiness = freeAddress();
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, render(Files.readString(Path.of("deploy/settings.json")),
        name, callers, readiness, freePort(freeAddress())));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
        .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("no command in the deploy file");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put(Wire.SETTINGS_VARIABLE, settings.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
    Gateway gateway = new Gateway(start(builder), callers, readiness);
    await(gateway::ready, "the gateway");
    record.line("gateway " + name + " is ready");
    return gateway;
  }

  /** Renders the template with the fields of a small deployment. */
  private String render(
      String template, String name, String callers, String readiness, String peerPort) {
    String text = template
        .replace("{{nodeName|json}}", quoted(name))
        .replace("{{zone|json}}", quoted("zone-a"))
        .replace("{{region|json}}", quoted("region-a"))
        .replace("{{ipAddress|json}}", quoted(ip))
        .replace("{{listenAddresses.frontend|json}}", quoted(callers))
        .replace("{{listenAddresses.ready|json}}", quoted(readiness))
        .replace("{{internalPortRange.0|json}}", peerPort)
        .replace("{{limits.cpuQuota|json}}", "0.75")
        .replace("{{platform.address|json}}", quoted(store))
        .replace("{{bounds.gracePeriodS|json}}", Long.toString(GRACE_PERIOD_S))
        .replace("{{bounds.retryBudgetRatio|json}}", "0.2")
        .replace("{{bounds.retryBudgetSlack|json}}", "52")
        .replace("{{bounds.drainTimeoutMs|json}}", "2000")
        .replace("{{bounds.contactTimeoutMs|json}}", Long.toString(CONTACT_TIMEOUT_MS))
        .replace("{{bounds.leaseDurationMs|json}}", "3000");
    return text
        .replaceAll("\\{\\{#bounds.fencingEnforced}}(.*?)\\{\\{/bounds.fencingEnforced}}", "$1")
        .replaceAll("\\{\\{\\^([a-zA-Z.]+)}}.*?\\{\\{/\\1}}", "");
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private Process javaProcess(String main, String... args) throws IOException {
    List<String> command = new ArrayList<>(List.of("java", "-Xmx200m", "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), main));
    command.addAll(List.of(args));
    return start(new ProcessBuilder(command).redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("standins.log").toFile())));
  }

  /** Starts a process that is ended with the lab. */
  private synchronized Process start(ProcessBuilder builder) throws IOException {
    if (closed) {
      throw new IOException("the case has ended");
    }
    Process process = builder.start();
    started.add(process);
    return process;
  }

  /** A condition that is polled. */
  interface Condition {
    boolean holds() throws Exception;
  }

  static void await(Condition condition, String what) throws Exception {
    long untilMs = nowMs() + READY_TIMEOUT_MS;
    while (!condition.holds()) {
      if (nowMs() > untilMs) {
        throw new IllegalStateException(what + " did not become ready");
      }
      Thread.sleep(50);
    }
  }

  /** Returns whether the record shows that an engine has answered a request to the end. */
  boolean engineHasAnswered(String attempt) throws IOException {
    return Files.readString(Path.of(recordPath)).contains(": has answered " + attempt + " with ");
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Runs a case and exits with its result. */
  static void run(String recordPath, Case body) throws IOException {
    int result = NOT_RUN;
    try (Lab lab = new Lab(recordPath)) {
      try {
        result = body.run(lab);
      } catch (Exception e) {
        lab.record.line("the case could not run: " + e);
      }
      lab.record.line("result " + result);
    }
    System.exit(result);
  }

  /** A case; returns the exit status. */
  interface Case {
    int run(Lab lab) throws Exception;
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    started.forEach(Process::destroyForcibly);
    for (Process process : started) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    boolean keep = System.getenv("KEEP") != null;
    if (keep) {
      System.err.println("logs are in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
    }
  }
}
