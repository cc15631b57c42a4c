package org.limpetdoor.core;

/**
 * A place in an input, for messages to the person who wrote the input.
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
