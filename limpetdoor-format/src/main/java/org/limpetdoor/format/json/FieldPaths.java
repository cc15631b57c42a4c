package org.limpetdoor.format.json;

/** Builds paths of fields and items, for example {@code engines[2].slots}. */
final class FieldPaths {
  private FieldPaths() {}

  static String member(String path, String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  static String item(String path, int index) {
    return path + "[" + index + "]";
  }
}
