package org.limpetdoor.scenario.steps;

import java.util.Map;
import java.util.Set;
import org.limpetdoor.scenario.ScenarioException;

/** One row of a table. Absent and empty cells are treated alike. */
record Row(Map<String, String> cells) {
  /** Returns the row; throws a {@link ScenarioException} if it has unknown columns. */
  static Row of(Map<String, String> cells, Set<String> accepted) {
    for (String column : cells.keySet()) {
      if (!accepted.contains(column)) {
        throw new ScenarioException("unknown column '" + column + "', accepted: " + accepted);
      }
    }
    return new Row(cells);
  }

  String text(String column) {
    String value = cells.get(column);
    if (value == null || value.isEmpty()) {
      throw new ScenarioException("column '" + column + "' is missing");
    }
    return value;
  }

  String text(String column, String defaultValue) {
    String value = cells.get(column);
    return value == null || value.isEmpty() ? defaultValue : value;
  }

  double number(String column, double defaultValue) {
    String value = cells.get(column);
    if (value == null || value.isEmpty()) {
      return defaultValue;
    }
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new ScenarioException("column '" + column + "' has '" + value + "', not a number");
    }
  }
}
