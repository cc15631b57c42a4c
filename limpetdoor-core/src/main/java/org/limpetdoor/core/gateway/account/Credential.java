package org.limpetdoor.core.gateway.account;

import java.util.Optional;
import org.limpetdoor.core.id.KeyDigest;

/**
 * What a caller presented to identify its account.
 *
 * @param form form of the credential
 * @param key digest of the key, if the form is {@link Form#KEY}
 */
public record Credential(Form form, Optional<KeyDigest> key) {
  /** No credential. */
  public static final Credential ABSENT = new Credential(Form.ABSENT, Optional.empty());

  /** A credential that does not name one key. */
  public static final Credential MALFORMED = new Credential(Form.MALFORMED, Optional.empty());

  /** Forms of credentials. */
  public enum Form {
    /** The caller sent none. */
    ABSENT,
    /** The caller sent several, or one that is not a key. */
    MALFORMED,
    /** The caller sent one key. */
    KEY
  }

  /** Returns the credential of a caller that sent one key. */
  public static Credential ofKey(KeyDigest key) {
    return new Credential(Form.KEY, Optional.of(key));
  }

  /** Returns the form only, because digests of keys must not reach log lines. */
  @Override
  public String toString() {
    return "Credential[form=" + form + "]";
  }
}
