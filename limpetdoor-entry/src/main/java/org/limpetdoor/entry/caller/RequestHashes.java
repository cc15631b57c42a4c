package org.limpetdoor.entry.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.limpetdoor.core.id.KeyDigest;

/** SHA-256 digests of keys, prompts and bodies. */
final class RequestHashes {
  /** Length of the prompt prefix for cache affinity: 256 tokens of four characters each. */
  private static final int PREFIX_CHARS = 1_024;

  private RequestHashes() {}

  static KeyDigest keyDigest(String key) {
    return new KeyDigest(HexFormat.of().formatHex(sha256(bytes(key))));
  }

  /** Returns 0 (no affinity) for a prompt too short to benefit from the prefix cache. */
  static long prefixHash(String target, String prompt) {
    if (prompt.length() < PREFIX_CHARS) {
      return 0;
    }
    return first64Bits(sha256(bytes(target), bytes(prompt.substring(0, PREFIX_CHARS))));
  }

  /** Returns a hash of each message, by which it is recognized in prompts of other requests. */
  static List<Long> promptParts(List<String> messages) {
    return messages.stream().map(message -> first64Bits(sha256(bytes(message)))).toList();
  }

  static long fingerprint(String target, byte[] body) {
    return first64Bits(sha256(bytes(target), body));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static long first64Bits(byte[] digest) {
    return ByteBuffer.wrap(digest).getLong();
  }

  /** Separates the parts by a zero byte, which names cannot contain, to avoid ambiguity. */
  private static byte[] sha256(byte[]... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (int i = 0; i < parts.length; i++) {
        if (i > 0) {
          digest.update((byte) 0);
        }
        digest.update(parts[i]);
      }
      return digest.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
