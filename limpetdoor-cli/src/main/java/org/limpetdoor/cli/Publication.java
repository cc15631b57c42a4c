package org.limpetdoor.cli;

import java.util.List;
import java.util.Map;

/** The result of publishing a configuration. */
sealed interface Publication {
  /** Returns the result for the operator. */
  Report report();

  /**
   * The configuration came into force.
   *
   * @param version the new version
   */
  record Accepted(long version) implements Publication {
    @Override
    public Report report() {
      return Report.ok(
          List.of("published version " + version), Map.of("version", version, "changed", true));
    }
  }

  /**
   * The configuration is already in force.
   *
   * @param version version in force
   */
  record Unchanged(long version) implements Publication {
    @Override
    public Report report() {
      return Report.ok(
          List.of("nothing to publish, version " + version + " has the same content"),
          Map.of("version", version, "changed", false));
    }
  }

  /**
   * Another publication came first.
   *
   * @param baseVersion version that the operator edited
   * @param versionInForce version that is in force instead
   * @param publisher who published the version in force; empty if nothing was published
   */
  record Conflict(long baseVersion, long versionInForce, String publisher) implements Publication {
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
