package org.limpetdoor.cli;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** The result of publishing a configuration. */
sealed interface Publication {
  /** Returns the report for the operator. */
  Report report();

  /** Returns the version with the published content, or empty if there is none. */
  OptionalLong contentVersion();

  /**
   * The configuration came into force.
   *
   * @param version the new version
   */
  record Accepted(long version) implements Publication {
    @Override
    public OptionalLong contentVersion() {
      return OptionalLong.of(version);
    }

    @Override
    public Report report() {
      return Report.ok(
          List.of("published version " + version), Map.of("version", version, "changed", true));
    }
  }

  /**
   * The version in force already has the same content.
   *
   * @param version version in force
   */
  record Unchanged(long version) implements Publication {
    @Override
    public OptionalLong contentVersion() {
      return OptionalLong.of(version);
    }

    @Override
    public Report report() {
      return Report.ok(
          List.of("nothing to publish, version " + version + " has the same content"),
          Map.of("version", version, "changed", false));
    }
  }

  /**
   * Another publication was accepted first.
   *
   * @param baseVersion version that the operator started from
   * @param versionInForce version that is in force instead
   * @param publisher publisher of the version in force; empty if nothing was published
   */
  record Conflict(long baseVersion, long versionInForce, String publisher) implements Publication {
    @Override
    public OptionalLong contentVersion() {
      return OptionalLong.empty();
    }

    @Override
    public Report report() {
      String message =
          "conflict: based on version "
              + baseVersion
              + ", but version "
              + versionInForce
              + " of publisher '"
              + publisher
              + "' is in force";
      return new Report(
          ExitCode.CONFLICT,
          List.of(message),
          Map.of(
              "message", message,
              "baseVersion", baseVersion,
              "versionInForce", versionInForce,
              "publisher", publisher));
    }
  }
}
