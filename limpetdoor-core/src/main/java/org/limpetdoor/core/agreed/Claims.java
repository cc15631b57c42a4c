package org.limpetdoor.core.agreed;

import java.util.Optional;
import org.limpetdoor.core.agreed.LogRecord.ClaimRequested;
import org.limpetdoor.core.agreed.LogRecord.ClaimResolved;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Outcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * Claims of calls with an idempotency key.
 *
 * @param byKey claim of each key
 * @param resolved resolved claims in the order of their resolution
 * @param nextOrdinal ordinal of the next resolution
 */
public record Claims(
    PMap<ClaimKey, Claim> byKey, TreePMap<Long, ClaimKey> resolved, long nextOrdinal) {
  /** No claims. */
  public static final Claims NONE = new Claims(HashTreePMap.empty(), TreePMap.empty(), 0);

  /** Maximum number of claims. At 300 bytes each they take a third of the 32 MB of an instance. */
  static final int MAX_CLAIMS = 32_768;

  /**
   * Key of a claim.
   *
   * @param customer the customer
   * @param key the idempotency key, unique for the customer
   */
  public record ClaimKey(CustomerId customer, String key) {}

  /**
   * Claim of an idempotency key by a request.
   *
   * @param request the request that may be dispatched
   * @param instance the instance that dispatches it
   * @param outcome outcome of the call, or empty while it may be running
   */
  public record Claim(RequestId request, InstanceId instance, Optional<Outcome> outcome) {}

  /** Returns the claim of a key. */
  public Optional<Claim> find(CustomerId customer, String key) {
    return Optional.ofNullable(byKey.get(new ClaimKey(customer, key)));
  }

  FoldedPart<Claims> request(ClaimRequested record) {
    ClaimKey key = new ClaimKey(record.customer(), record.key());
    if (byKey.containsKey(key)) {
      return new FoldedPart<>(this, FoldResult.ALREADY_CLAIMED);
    }
    Claims trimmed = byKey.size() < MAX_CLAIMS ? this : withoutOldestResolved();
    if (trimmed.byKey.size() >= MAX_CLAIMS) {
      return new FoldedPart<>(this, FoldResult.CLAIMS_FULL);
    }
    Claim claim = new Claim(record.request(), record.instance(), Optional.empty());
    return FoldedPart.accepted(
        new Claims(trimmed.byKey.plus(key, claim), trimmed.resolved, nextOrdinal));
  }

  FoldedPart<Claims> resolve(ClaimResolved record) {
    ClaimKey key = new ClaimKey(record.customer(), record.key());
    Claim claim = byKey.get(key);
    if (claim == null || claim.outcome().isPresent() || !claim.request().equals(record.request())) {
      return new FoldedPart<>(this, FoldResult.UNKNOWN_CLAIM);
    }
    if (record.outcome() == Outcome.NOT_RUN) {
      return FoldedPart.accepted(new Claims(byKey.minus(key), resolved, nextOrdinal));
    }
    Claim resolvedClaim =
        new Claim(claim.request(), claim.instance(), Optional.of(record.outcome()));
    return FoldedPart.accepted(
        new Claims(
            byKey.plus(key, resolvedClaim), resolved.plus(nextOrdinal, key), nextOrdinal + 1));
  }

  private Claims withoutOldestResolved() {
    if (resolved.isEmpty()) {
      return this;
    }
    long oldest = resolved.firstKey();
    return new Claims(byKey.minus(resolved.get(oldest)), resolved.minus(oldest), nextOrdinal);
  }
}
