package org.limpetdoor.standin.instances;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An entry of the instance list.
 *
 * @param name name of the instance
 * @param address address of the instance as {@code ip:port}
 * @param state whether the instance stays or is about to be stopped
 */
public record ListedInstance(String name, String address, State state) {
  /** Checks that all members are present. */
  public ListedInstance {
    if (name == null || address == null || state == null) {
      throw new IllegalArgumentException("name, address and state are required for an instance");
    }
  }

  /** The state that the platform reports for an instance. */
  public enum State {
    /** The instance is running. */
    @JsonProperty("live")
    LIVE,
    /** The instance is about to be stopped. */
    @JsonProperty("leaving")
    LEAVING
  }
}
