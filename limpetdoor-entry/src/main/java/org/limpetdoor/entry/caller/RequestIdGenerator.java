package org.limpetdoor.entry.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.id.RequestId;

/** Generates request identifiers that are unique across instances and restarts. */
final class RequestIdGenerator {
  private final String prefix;
  private final AtomicLong sequence = new AtomicLong();

  RequestIdGenerator(Self self) {
    this.prefix = self.id() + "-" + self.incarnation() + "-";
  }

  RequestId next() {
    return new RequestId(prefix + sequence.incrementAndGet());
  }
}
