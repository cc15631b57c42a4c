package org.limpetdoor.standin.instances;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An instance of the list.
 *
 * @param name its name
 * @param address its address as {@code ip:port}
 * @param state live or leaving
 */
public record ListedInstance(String name, String address, State state) {
  /** Checks that all members are present. */
  public ListedInstance {
    if (name == null || address == null || state == null) {
      throw new IllegalArgumentException("an instance needs name, address and state");
    }
  }

  /** What the platform knows about an instance. */
  public enum State {
    /** It runs. */
    @JsonProperty("live")
    LIVE,
    /** It will be stopped. */
    @JsonProperty("leaving")
    LEAVING
  }
}
