import java.io.FileOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

/** Appends lines to the record of a case; several processes write to the same file. */
final class Record {
  private final String path;
  private final String who;

  Record(String path, String who) {
    this.path = path;
    this.who = who;
  }

  void line(String text) {
    String line = LocalTime.now().truncatedTo(ChronoUnit.MILLIS) + " " + who + ": " + text + "\n";
    try (FileOutputStream out = new FileOutputStream(path, true)) {
      out.write(line.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the times of day of the lines that contain a text, in milliseconds. */
  static List<Long> timesMs(Path path, String text) throws IOException {
    List<Long> times = new ArrayList<>();
    for (String line : Files.readAllLines(path)) {
      if (line.contains(text)) {
        LocalTime time = LocalTime.parse(line.substring(0, line.indexOf(' ')));
        times.add(time.toNanoOfDay() / 1_000_000);
      }
    }
    return times;
  }
}
