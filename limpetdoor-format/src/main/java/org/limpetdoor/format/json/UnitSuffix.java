package org.limpetdoor.format.json;

/** Recognizes unit suffixes of field names, to distinguish a wrong unit from an unknown field. */
final class UnitSuffix {
  // Longer suffixes come first. The capital S distinguishes seconds from plurals such as "slots".
  private static final String[] SUFFIXES = {
    "Milliseconds",
    "Millis",
    "Seconds",
    "Minutes",
    "Hours",
    "Bytes",
    "Secs",
    "Sec",
    "MiB",
    "Mib",
    "GiB",
    "Gib",
    "KiB",
    "Kib",
    "MB",
    "Mb",
    "GB",
    "Gb",
    "KB",
    "Kb",
    "Ms",
    "Us",
    "Ns",
    "S"
  };

  private UnitSuffix() {}

  static boolean differsOnlyInUnit(String name, String acceptedName) {
    return !name.equals(acceptedName) && stem(name).equals(stem(acceptedName));
  }

  private static String stem(String name) {
    for (String suffix : SUFFIXES) {
      if (name.endsWith(suffix) && name.length() > suffix.length()) {
        return name.substring(0, name.length() - suffix.length());
      }
    }
    return name;
  }
}
