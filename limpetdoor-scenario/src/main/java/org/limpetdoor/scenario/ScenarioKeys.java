package org.limpetdoor.scenario;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.KeyDigest;

/** Key digests of fake callers. The key of a customer is its name. */
public final class ScenarioKeys {
  private ScenarioKeys() {}

  /** Returns the digest of the key of a customer. */
  public static KeyDigest digest(CustomerId customer) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      byte[] digest = sha.digest(customer.value().getBytes(StandardCharsets.UTF_8));
      return new KeyDigest(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
