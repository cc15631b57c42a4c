package org.limpetdoor.dev;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.limpetdoor.cli.CliMain;
import org.limpetdoor.cli.ExitCode;
import org.limpetdoor.entry.EntryMain;
import org.limpetdoor.runtime.crowd.ProcessUsage;
import org.limpetdoor.standin.RunningStandin;
import org.limpetdoor.standin.StandinSettingsFile;
import org.limpetdoor.standin.Standins;

/** An entry in a process of its own with a small heap, before a log and a plain service. */
final class EntryProcess implements AutoCloseable {
  private static final int HEAP_MB = 64;

  /**
   * What the process may take in all: the heap and the 130 MB that a machine of 290 MB leaves
   * beside a heap of 160 MB.
   */
  static final int MAX_MEMORY_MB = HEAP_MB + 130;

  static final int MAX_DESCRIPTORS = 1_500;

  /** As on the machines of a deployment, where a process has less than one core. */
  private static final List<String> JAVA_OPTIONS =
      List.of(
          "-Xmx" + HEAP_MB + "m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:+ExitOnOutOfMemoryError");

  /** Time limit that only ends a test whose process hangs. */
  static final int TIMEOUT_MS = 60_000;

  /** Longer than what the buffers of sockets take, and within what an entry buffers. */
  private static final int LONG_BODY_BYTES = 4_000_000;

  /** Connections that may wait to be accepted; more than a crowd opens at once. */
  private static final int BACKLOG = 512;

  private static final long POLL_MS = 100;
  private static final int STATUS_OK = 200;

  /** Listening sockets of an entry. */
  enum Listener {
    CALLERS,
    OPERATORS
  }

  private final int[] ports = {ChildProcesses.freePort(), ChildProcesses.freePort()};

  /** Serves each request on a thread of its own, so that a long response delays no other one. */
  private final ExecutorService executor = Executors.newCachedThreadPool();

  private final HttpServer service;
  private final RunningStandin log;
  private final Process process;

  /** Starts the service, the log with a configuration, and the entry. */
  EntryProcess(Path directory) throws Exception {
    service = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
    service.setExecutor(executor);
    service.createContext("/", EntryProcess::answer);
    service.start();
    String logAddress = "127.0.0.1:" + ChildProcesses.freePort();
    log = startLog(directory, logAddress);
    publish(directory, logAddress);
    process = startEntry(directory, logAddress);
    while (getOrFail(Listener.OPERATORS, "/health/ready") != STATUS_OK) {
      if (!process.isAlive()) {
        throw new IOException("entry has ended with status " + process.exitValue());
      }
      Thread.sleep(POLL_MS);
    }
  }

  InetSocketAddress address(Listener listener) {
    return new InetSocketAddress("127.0.0.1", ports[listener.ordinal()]);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  ProcessUsage usage() {
    return new ProcessUsage(process.pid());
  }

  /** Sends an ordinary request and returns the status of its response. */
  int get(Listener listener, String path) throws IOException {
    URI uri = URI.create("http://127.0.0.1:" + address(listener).getPort() + path);
    HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
    connection.setRequestProperty("Authorization", "Bearer bakery-key");
    connection.setReadTimeout(TIMEOUT_MS);
    int status = connection.getResponseCode();
    connection.disconnect();
    return status;
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly().waitFor();
    log.close();
    service.stop(0);
    executor.shutdownNow();
  }

  private int getOrFail(Listener listener, String path) {
    try {
      return get(listener, path);
    } catch (IOException e) {
      return -1;
    }
  }

  private static RunningStandin startLog(Path directory, String address) throws IOException {
    String settings =
        "{\"role\":\"log\",\"address\":\"%s\",\"retainRecords\":0,\"retainMs\":0,\"appendsPerSecond\":300}"
            .formatted(address);
    return Standins.start(
        StandinSettingsFile.read(Files.writeString(directory.resolve("log.json"), settings)));
  }

  private void publish(Path directory, String logAddress) throws IOException {
    String configuration =
        Files.readString(Path.of("..", "examples", "dev", "configuration.json"))
            .replace("127.0.0.1:18201", "127.0.0.1:" + service.getAddress().getPort());
    Path file = Files.writeString(directory.resolve("configuration.json"), configuration);
    PrintStream discarded =
        new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
    ExitCode code =
        CliMain.run(
            InputStream.nullInputStream(),
            discarded,
            discarded,
            "publish",
            file.toString(),
            "--log",
            logAddress);
    if (code != ExitCode.OK) {
      throw new IOException("configuration was not published: " + code);
    }
  }

  private Process startEntry(Path directory, String logAddress) throws IOException {
    String settings =
        """
        {"instance": "entry-1", "zone": "georgia-a", "callerAddress": "127.0.0.1:%d",
         "operatorAddress": "127.0.0.1:%d", "logAddress": "%s"}
        """
            .formatted(ports[0], ports[1], logAddress);
    Path file = Files.writeString(directory.resolve("entry.json"), settings);
    List<String> command = new ArrayList<>();
    command.addAll(List.of("sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + " && exec \"$@\"", "sh"));
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JAVA_OPTIONS);
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(List.of(EntryMain.class.getName(), file.toString()));
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(directory.resolve("entry.log").toFile())
        .start();
  }

  private static void answer(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    boolean isLong = exchange.getRequestURI().getPath().startsWith("/long");
    byte[] body = new byte[isLong ? LONG_BODY_BYTES : 1];
    exchange.sendResponseHeaders(STATUS_OK, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }
}
