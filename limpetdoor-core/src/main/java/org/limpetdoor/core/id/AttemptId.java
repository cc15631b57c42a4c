package org.limpetdoor.core.id;

/**
 * Identifies one attempt to run a request on a back end. Each attempt has its own identifier, so
 * that answers of a superseded attempt can be recognized and dropped.
 *
 * @param request the request
 * @param number number of the attempt, from 1
 */
public record AttemptId(RequestId request, int number) {
  @Override
  public String toString() {
    return request + "#" + number;
  }
}
