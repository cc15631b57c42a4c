package org.limpetdoor.format.json;

import java.util.Locale;

/** Recognises unit suffixes of field names, to tell a wrong unit from an unknown field. */
final class UnitSuffix {
  // Longer suffixes come first, so that "Millis" is not taken for a name that ends in "s".
  private static final String[] SUFFIXES = {
    "milliseconds",
    "millis",
    "seconds",
    "minutes",
    "hours",
    "bytes",
    "secs",
    "sec",
    "mib",
    "gib",
    "kib",
    "mb",
    "gb",
    "kb",
    "ms",
    "us",
    "ns",
    "s"
  };

  private UnitSuffix() {}

  static boolean differsOnlyInUnit(String name, String known) {
    return !name.equals(known) && stem(name).equals(stem(known));
  }

  private static String stem(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    for (String suffix : SUFFIXES) {
      if (lower.endsWith(suffix) && lower.length() > suffix.length()) {
        return lower.substring(0, lower.length() - suffix.length());
      }
    }
    return lower;
  }
}
