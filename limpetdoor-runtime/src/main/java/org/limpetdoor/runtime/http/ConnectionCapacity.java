package org.limpetdoor.runtime.http;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.limpetdoor.core.limits.ConnectionThreshold;

/** Derives how many connections the listeners of a process may have from what the process has. */
public final class ConnectionCapacity {
  /** Part of the descriptors for callers; engines, peers, store and files need the rest. */
  private static final double DESCRIPTOR_FRACTION = 0.7;

  /** Part of the heap for connections of callers as such. */
  private static final int HEAP_DIVISOR = 5;

  /** What a connection takes without a request: channel, handlers, codec and a read buffer. */
  private static final int CONNECTION_BYTES = 16 << 10;

  /** Assumed number of descriptors if the system states none. */
  private static final long DEFAULT_DESCRIPTORS = 1_024;

  /** Connections of a balancer or a monitoring system, which need a few each. */
  private static final int MONITORING_CONNECTIONS = 64;

  private ConnectionCapacity() {}

  /** Returns the capacity of a listener for callers. */
  public static ConnectionThreshold ofCallers() {
    long byDescriptors = (long) (descriptors() * DESCRIPTOR_FRACTION);
    long byHeap = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / CONNECTION_BYTES;
    return new ConnectionThreshold((int) Math.max(1, Math.min(byDescriptors, byHeap)));
  }

  /** Returns the capacity of a listener for readiness checks, metrics or operators. */
  public static ConnectionThreshold ofMonitoring() {
    return new ConnectionThreshold(MONITORING_CONNECTIONS);
  }

  private static long descriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
        ? system.getMaxFileDescriptorCount()
        : DEFAULT_DESCRIPTORS;
  }
}
