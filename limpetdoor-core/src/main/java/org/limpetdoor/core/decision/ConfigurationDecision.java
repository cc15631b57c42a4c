package org.limpetdoor.core.decision;

import java.util.List;

/**
 * Decision whether a published configuration came into force.
 *
 * @param offset offset of the record, which is the new version if the record was accepted
 * @param baseVersion version that the publisher edited
 * @param versionInForce version in force before the record
 * @param accepted whether the record was accepted
 * @param publisher name of the publisher
 */
public record ConfigurationDecision(
    long offset, long baseVersion, long versionInForce, boolean accepted, String publisher)
    implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.CONFIGURATION;
  }

  @Override
  public String subject() {
    return String.valueOf(offset);
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("result", accepted ? "accepted" : "rejected"),
        Field.of("reason", accepted ? "base_version_in_force" : "base_version_superseded"),
        Field.of("base_version", baseVersion),
        Field.of("version_in_force", versionInForce),
        Field.of("publisher", publisher));
  }
}
