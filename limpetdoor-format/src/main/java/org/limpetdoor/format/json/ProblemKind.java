package org.limpetdoor.format.json;

/** Kinds of problems in a document. Each kind has its own message template. */
public enum ProblemKind {
  /** The text is not JSON with comments. */
  SYNTAX("not readable: %s; expected %s"),
  /** The object has two fields of the same name. */
  DUPLICATE_FIELD("%s appears twice; expected %s"),
  /** The type of the object has no field of this name. */
  UNKNOWN_FIELD("unknown field %s; expected %s"),
  /** The field exists with another unit suffix. */
  WRONG_UNIT("unknown field %s; its unit is wrong, write %s"),
  /** A required field is absent. */
  MISSING_FIELD("missing field %s; expected %s"),
  /** The value does not have the expected JSON type. */
  WRONG_TYPE("found %s; expected %s"),
  /** The number is outside the accepted range. */
  OUT_OF_RANGE("found %s; expected %s"),
  /** The text does not have the accepted form. */
  WRONG_FORM("found %s; expected %s"),
  /** Two entries have the same name. */
  DUPLICATE_NAME("%s is already used; expected %s"),
  /** A reference names an entry that does not exist. */
  UNKNOWN_REFERENCE("unknown name %s; expected %s"),
  /** A sum of several values exceeds its limit. */
  IMPOSSIBLE_SUM("%s; expected %s");

  private final String template;

  ProblemKind(String template) {
    this.template = template;
  }

  String message(String found, String accepted) {
    return String.format(template, found, accepted);
  }
}
