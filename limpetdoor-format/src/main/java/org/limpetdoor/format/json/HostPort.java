package org.limpetdoor.format.json;

import java.util.regex.Pattern;
import org.limpetdoor.core.LimpetdoorException;

/**
 * The IP address and TCP port of a listener or a service.
 *
 * @param host IPv4 address, or IPv6 address in brackets
 * @param port port from 0 to 65535; 0 lets the operating system choose a port
 */
public record HostPort(String host, int port) {
  /** Description of the accepted form, used in error messages. */
  public static final String ACCEPTED = "an address ip:port, for example 127.0.0.1:18080";

  private static final int MAX_PORT = 65_535;
  private static final Pattern HOST =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}|\\[[0-9a-fA-F:.]{2,45}]");
  private static final Pattern PORT = Pattern.compile("\\d{1,5}");

  /**
   * Parses an address.
   *
   * @throws InvalidAddressException if the text is not an IP address and a port
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new InvalidAddressException(text);
    }
    String host = text.substring(0, colon);
    String port = text.substring(colon + 1);
    boolean isPort = PORT.matcher(port).matches() && Integer.parseInt(port) <= MAX_PORT;
    if (!isPort || !HOST.matcher(host).matches()) {
      throw new InvalidAddressException(text);
    }
    return new HostPort(host, Integer.parseInt(port));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }

  /** Thrown when a text is not an IP address and a port. */
  public static final class InvalidAddressException extends LimpetdoorException {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String text) {
      super("invalid address '" + text + "': expected " + ACCEPTED, null);
    }
  }
}
