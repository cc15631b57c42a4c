package org.limpetdoor.format.record;

import static org.limpetdoor.format.record.RecordFields.lowerCaseName;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.agreed.Claims;
import org.limpetdoor.core.agreed.Claims.Claim;
import org.limpetdoor.core.agreed.Claims.ClaimKey;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Outcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * Encodes and decodes claims. A resolved claim has two more fields: its outcome, and its ordinal
 * among the resolved claims.
 */
final class ClaimsCodec {
  private ClaimsCodec() {}

  static List<Map<String, Object>> encode(Claims claims) {
    Map<ClaimKey, Long> ordinals = new HashMap<>();
    claims.resolved().forEach((ordinal, key) -> ordinals.put(key, ordinal));
    return claims.byKey().entrySet().stream()
        .map(entry -> encode(entry.getKey(), entry.getValue(), ordinals.get(entry.getKey())))
        .toList();
  }

  static Claims decode(List<RecordFields> entries, long nextOrdinal) {
    PMap<ClaimKey, Claim> byKey = HashTreePMap.empty();
    TreePMap<Long, ClaimKey> resolved = TreePMap.empty();
    for (RecordFields entry : entries) {
      ClaimKey key = new ClaimKey(new CustomerId(entry.text("customer")), entry.text("key"));
      Claim claim = decodeClaim(entry);
      byKey = byKey.plus(key, claim);
      resolved =
          claim.outcome().isPresent() ? resolved.plus(entry.number("ordinal"), key) : resolved;
    }
    return new Claims(byKey, resolved, nextOrdinal);
  }

  private static Map<String, Object> encode(ClaimKey key, Claim claim, Long ordinal) {
    Map<String, Object> fields = new HashMap<>();
    fields.put("customer", key.customer().value());
    fields.put("key", key.key());
    fields.put("request", claim.request().value());
    fields.put("instance", claim.instance().value());
    claim.outcome().ifPresent(outcome -> fields.put("outcome", lowerCaseName(outcome)));
    claim.outcome().ifPresent(outcome -> fields.put("ordinal", ordinal));
    return fields;
  }

  private static Claim decodeClaim(RecordFields fields) {
    Optional<Outcome> outcome =
        fields.has("outcome")
            ? Optional.of(fields.enumConstant("outcome", Outcome.class))
            : Optional.empty();
    return new Claim(
        new RequestId(fields.text("request")), new InstanceId(fields.text("instance")), outcome);
  }
}
