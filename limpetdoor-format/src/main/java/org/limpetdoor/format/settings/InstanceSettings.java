package org.limpetdoor.format.settings;

import java.util.Optional;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.json.HostPort;

/**
 * Settings of one instance. Everything that operators change while instances run is in the
 * configuration instead.
 *
 * @param instance name of the instance
 * @param zone zone that it runs in
 * @param callerAddress where callers connect
 * @param operatorAddress where operators connect
 * @param peerAddress where other instances connect; absent for an instance without peers
 * @param logAddress address of the log service
 * @param logStream stream that holds the agreed records
 * @param instanceListAddress address of the list of instances; absent if there is none
 * @param weightStoreAddress address of the weight store; absent if there is none
 * @param peerSecret where the secret shared by the instances is kept
 * @param maxBodyBytes longest request body, in bytes, at least 1
 * @param maxHeaderBytes longest request header, in bytes, at least 1
 * @param maxConnections open connections of callers, at least 1
 * @param drainTimeoutMs longest time that a graceful shutdown waits for open requests, in
 *     milliseconds, at least 0
 */
public record InstanceSettings(
    InstanceId instance,
    ZoneId zone,
    HostPort callerAddress,
    HostPort operatorAddress,
    Optional<HostPort> peerAddress,
    HostPort logAddress,
    String logStream,
    Optional<HostPort> instanceListAddress,
    Optional<HostPort> weightStoreAddress,
    SecretReference peerSecret,
    int maxBodyBytes,
    int maxHeaderBytes,
    int maxConnections,
    int drainTimeoutMs) {
  /** Stream that holds the agreed records unless the settings name another. */
  public static final String DEFAULT_LOG_STREAM = "limpetdoor";

  /** Where the shared secret is kept unless the settings name another place. */
  public static final SecretReference DEFAULT_PEER_SECRET =
      new SecretReference.InEnvironment("LIMPETDOOR_PEER_SECRET");

  /** Four MiB: a prompt of a million characters. */
  public static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

  /** Sixteen KiB. */
  public static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;

  /** Connections of callers unless the settings say otherwise. */
  public static final int DEFAULT_MAX_CONNECTIONS = 10_000;

  /** Two minutes: longer than the longest answers of the engines. */
  public static final int DEFAULT_DRAIN_TIMEOUT_MS = 120_000;

  /** Checks ranges. */
  public InstanceSettings {
    Ranges.atLeast("maxBodyBytes", maxBodyBytes, 1);
    Ranges.atLeast("maxHeaderBytes", maxHeaderBytes, 1);
    Ranges.atLeast("maxConnections", maxConnections, 1);
    Ranges.atLeast("drainTimeoutMs", drainTimeoutMs, 0);
  }

  /** Returns settings with the given required values and defaults for the others. */
  public static InstanceSettings of(
      InstanceId instance,
      ZoneId zone,
      HostPort callerAddress,
      HostPort operatorAddress,
      HostPort logAddress) {
    return new InstanceSettings(
        instance,
        zone,
        callerAddress,
        operatorAddress,
        Optional.empty(),
        logAddress,
        DEFAULT_LOG_STREAM,
        Optional.empty(),
        Optional.empty(),
        DEFAULT_PEER_SECRET,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_MAX_HEADER_BYTES,
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_DRAIN_TIMEOUT_MS);
  }

  /** Returns a copy with other addresses of callers and operators. */
  public InstanceSettings withListeners(HostPort callers, HostPort operators) {
    return new InstanceSettings(
        instance,
        zone,
        callers,
        operators,
        peerAddress,
        logAddress,
        logStream,
        instanceListAddress,
        weightStoreAddress,
        peerSecret,
        maxBodyBytes,
        maxHeaderBytes,
        maxConnections,
        drainTimeoutMs);
  }

  /** Returns a copy with another address of the log service. */
  public InstanceSettings withLogAddress(HostPort value) {
    return new InstanceSettings(
        instance,
        zone,
        callerAddress,
        operatorAddress,
        peerAddress,
        value,
        logStream,
        instanceListAddress,
        weightStoreAddress,
        peerSecret,
        maxBodyBytes,
        maxHeaderBytes,
        maxConnections,
        drainTimeoutMs);
  }
}
