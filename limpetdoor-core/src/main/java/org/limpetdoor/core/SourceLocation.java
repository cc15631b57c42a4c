package org.limpetdoor.core;

/**
 * A location in an input file, for error messages to its author.
 *
 * @param source name of the input, for example a file name
 * @param line line number from 1, or 0 if unknown
 * @param column column number from 1, or 0 if unknown
 */
public record SourceLocation(String source, int line, int column) {
  @Override
  public String toString() {
    return line == 0 ? source : source + ":" + line + ":" + column;
  }
}
