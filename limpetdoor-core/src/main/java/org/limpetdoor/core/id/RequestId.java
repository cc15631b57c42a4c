package org.limpetdoor.core.id;

/**
 * Identifies one request of a caller, unique over instances and their restarts.
 *
 * @param value instance name, incarnation and sequence number
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /**
   * Checks the format of the identifier.
   *
   * @throws InvalidNameException if the identifier does not have the format of a name
   */
  public RequestId {
    Names.check(value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
