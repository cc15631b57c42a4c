package org.limpetdoor.format.json;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;

/**
 * Reads the fields of one JSON object. All fields are read before the result is built, so that all
 * problems are found in one pass.
 */
public final class ObjectReader {
  private final JsonValue.ObjectValue object;
  private final String path;
  private final Problems problems;
  private final int problemsBefore;
  private final Set<String> acceptedNames = new LinkedHashSet<>();
  private final Set<String> missingNames = new LinkedHashSet<>();

  ObjectReader(JsonValue.ObjectValue object, String path, Problems problems) {
    this.object = object;
    this.path = path;
    this.problems = problems;
    this.problemsBefore = problems.count();
  }

  /** Returns the location of the object. */
  public SourceLocation location() {
    return object.location();
  }

  /** Returns the path of the object. */
  public String path() {
    return path;
  }

  /** Returns the value of a required field, or null if the field is absent or invalid. */
  public <T> T required(String name, ValueType<T> type) {
    acceptedNames.add(name);
    Optional<JsonValue.Member> member = object.member(name);
    if (member.isEmpty()) {
      missingNames.add(name);
      return null;
    }
    return type.read(member.get().value(), FieldPaths.member(path, name), problems);
  }

  /** Returns the value of an optional field, the fallback if absent, or null if invalid. */
  public <T> T optional(String name, ValueType<T> type, T fallback) {
    acceptedNames.add(name);
    return object
        .member(name)
        .map(member -> read(member, type))
        .orElseGet(() -> new NullableValue<>(fallback))
        .value();
  }

  /**
   * Reports missing and unknown fields, and builds the result if the object is valid.
   *
   * @return the result, or null if the object is invalid
   */
  public <T> T build(Supplier<T> builder) {
    reportUnknown();
    for (String name : missingNames) {
      problems.add(
          ProblemKind.MISSING_FIELD,
          object.location(),
          FieldPaths.member(path, name),
          name,
          "a value");
    }
    if (problems.count() > problemsBefore) {
      return null;
    }
    try {
      return builder.get();
    } catch (LimpetdoorException e) {
      problems.add(
          ProblemKind.WRONG_FORM, object.location(), path, e.getMessage(), "consistent fields");
      return null;
    }
  }

  private void reportUnknown() {
    for (JsonValue.Member member : object.members()) {
      if (!acceptedNames.contains(member.name())) {
        reportUnknown(member);
      }
    }
  }

  private void reportUnknown(JsonValue.Member member) {
    String memberPath = FieldPaths.member(path, member.name());
    Optional<String> intendedName =
        acceptedNames.stream()
            .filter(name -> UnitSuffix.differsOnlyInUnit(member.name(), name))
            .findFirst();
    ProblemKind kind =
        intendedName.isPresent() ? ProblemKind.WRONG_UNIT : ProblemKind.UNKNOWN_FIELD;
    String accepted = intendedName.orElseGet(() -> "one of " + String.join(", ", acceptedNames));
    // The problem of the wrong unit names the field; reporting it as missing too would be
    // redundant.
    intendedName.ifPresent(missingNames::remove);
    problems.add(kind, member.location(), memberPath, member.name(), accepted);
  }

  private <T> NullableValue<T> read(JsonValue.Member member, ValueType<T> type) {
    return new NullableValue<>(
        type.read(member.value(), FieldPaths.member(path, member.name()), problems));
  }

  private record NullableValue<T>(T value) {}
}
