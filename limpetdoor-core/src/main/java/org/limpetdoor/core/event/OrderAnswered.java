package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.placement.OrderAnswer;

/**
 * An order to an engine ended.
 *
 * @param atMs when, in monotonic milliseconds
 * @param orderId the order
 * @param answer what is known of it
 */
public record OrderAnswered(long atMs, String orderId, OrderAnswer answer) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ORDER_ANSWERED;
  }
}
