package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Prints the digest of a caller's key. The key is read from standard input, not from an argument.
 */
@Command(
    name = "key-digest",
    description = "Reads a caller key from standard input and prints its SHA-256 digest")
@ExitCodes({ExitCode.INVALID_INPUT})
public final class KeyDigestCommand extends CliCommand {
  // Longer input is most likely not a key but a wrong file.
  private static final int MAX_KEY_BYTES = 4096;

  @Override
  Report run(CliContext context) {
    String hex = HexFormat.of().formatHex(sha256(readKey(context)));
    return Report.ok(List.of(hex), Map.of("digest", hex));
  }

  private static byte[] readKey(CliContext context) {
    try {
      byte[] input = context.input().readNBytes(MAX_KEY_BYTES + 1);
      String key = new String(input, StandardCharsets.UTF_8).strip();
      if (key.isEmpty() || input.length > MAX_KEY_BYTES || key.lines().count() > 1) {
        String message = "standard input: expected one line with a key of at most 4096 bytes";
        throw new CliException(ExitCode.INVALID_INPUT, message, null);
      }
      return key.getBytes(StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] sha256(byte[] input) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(input);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
