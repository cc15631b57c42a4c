package org.limpetdoor.runtime.crowd;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What a process uses, as the kernel counts it.
 *
 * @param pid id of the process
 */
public record ProcessUsage(long pid) {
  /** Time limit that only ends a test whose process hangs. */
  private static final long TIMEOUT_S = 60;

  private static final long POLL_MS = 100;

  /** State of a listening socket in the tables of the kernel. */
  private static final String LISTENING = "0A";

  private static final int HEXADECIMAL = 16;

  /** Returns the largest resident size that the process has had, in megabytes. */
  public int peakMemoryMb() throws IOException {
    List<String> status = Files.readAllLines(file("status"));
    String line = status.stream().filter(l -> l.startsWith("VmHWM:")).findFirst().orElseThrow();
    return Integer.parseInt(line.replaceAll("[^0-9]", "")) >> 10;
  }

  /** Returns the number of open descriptors. */
  public int openDescriptors() throws IOException {
    try (Stream<Path> descriptors = Files.list(file("fd"))) {
      return (int) descriptors.count();
    }
  }

  /** Waits until the process has at most the given number of descriptors open. */
  public void awaitOpenDescriptors(int most) throws IOException, InterruptedException {
    long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    int open = openDescriptors();
    while (open > most && System.nanoTime() - deadlineNs < 0) {
      Thread.sleep(POLL_MS);
      open = openDescriptors();
    }
    assertWithMessage("open descriptors").that(open).isAtMost(most);
  }

  /**
   * Returns the length of what the connections of a listener have received but the process has not
   * read, in bytes.
   */
  public long unreadBytes(int localPort) throws IOException {
    String suffix = String.format(":%04X", localPort);
    long total = 0;
    for (String table : new String[] {"tcp", "tcp6"}) {
      for (String line : Files.readAllLines(file("net/" + table))) {
        String[] columns = line.strip().split("\\s+");
        if (columns[1].endsWith(suffix) && !columns[3].equals(LISTENING)) {
          total += Long.parseLong(columns[4].split(":")[1], HEXADECIMAL);
        }
      }
    }
    return total;
  }

  private Path file(String name) {
    return Path.of("/proc", String.valueOf(pid), name);
  }
}
