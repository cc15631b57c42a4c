package org.limpetdoor.format.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.limpetdoor.core.LimpetdoorException;

/** Reference to a stored secret. Settings never contain the secret itself. */
public sealed interface SecretReference {
  /**
   * Reads the secret.
   *
   * @throws SecretUnavailableException if the secret is absent, blank or unreadable
   */
  byte[] read();

  /**
   * A secret in a file. Leading and trailing white space is removed.
   *
   * @param path path of the file
   */
  record InFile(String path) implements SecretReference {
    @Override
    public byte[] read() {
      try {
        return requireNonBlank(Files.readString(Path.of(path)), "file " + path);
      } catch (IOException e) {
        throw new SecretUnavailableException("file " + path, e);
      }
    }
  }

  /**
   * A secret in an environment variable. Leading and trailing white space is removed.
   *
   * @param variable name of the variable
   */
  record InEnvironment(String variable) implements SecretReference {
    @Override
    public byte[] read() {
      return requireNonBlank(System.getenv(variable), "environment variable " + variable);
    }
  }

  private static byte[] requireNonBlank(String text, String source) {
    if (text == null || text.isBlank()) {
      throw new SecretUnavailableException(source, null);
    }
    return text.strip().getBytes(StandardCharsets.UTF_8);
  }

  /** Thrown when the secret that the settings refer to cannot be read. */
  final class SecretUnavailableException extends LimpetdoorException {
    private static final long serialVersionUID = 1L;

    SecretUnavailableException(String source, Throwable cause) {
      super("no secret in " + source + ": expected a non-empty text", null, cause);
    }
  }
}
