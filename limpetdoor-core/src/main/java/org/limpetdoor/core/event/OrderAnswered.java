package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.placement.OrderAnswer;

/**
 * An order to an engine ended.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param orderId identifier of the order
 * @param answer response of the engine, or unknown if it was lost
 */
public record OrderAnswered(long atMs, String orderId, OrderAnswer answer) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ORDER_ANSWERED;
  }
}
