package org.limpetdoor.dev;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Child processes that a test has started. Closing this object kills them all. */
final class ChildProcesses implements AutoCloseable {
  private static final long EXIT_WAIT_S = 20;

  private final Path directory;
  private final Map<String, Process> running = new HashMap<>();

  ChildProcesses(Path directory) {
    this.directory = directory;
  }

  /** Runs a main class in a new process, with a settings file of the given content. */
  void start(String name, Class<?> mainClass, String settings) throws IOException {
    Path file = Files.writeString(directory.resolve(name + ".json"), settings);
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass.getName(),
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(logFile(name))
            .start();
    running.put(name, process);
  }

  /** Kills a process without giving it time to clean up. */
  void kill(String name) throws InterruptedException {
    Process process = running.get(name);
    process.destroyForcibly();
    process.waitFor(EXIT_WAIT_S, TimeUnit.SECONDS);
  }

  /** Requests a graceful stop of a process and returns its exit status. */
  int stop(String name) throws InterruptedException, TimeoutException {
    Process process = running.get(name);
    process.destroy();
    if (!process.waitFor(EXIT_WAIT_S, TimeUnit.SECONDS)) {
      throw new TimeoutException(name + " did not stop");
    }
    return process.exitValue();
  }

  String output(String name) throws IOException {
    return Files.readString(logFile(name).toPath());
  }

  @Override
  public void close() {
    running.values().forEach(Process::destroyForcibly);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private File logFile(String name) {
    return directory.resolve(name + ".log").toFile();
  }
}
