package org.limpetdoor.format.settings;

import java.util.Optional;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.json.HostPort;

/**
 * Settings of one instance. Values that operators change while instances run belong to the
 * configuration.
 *
 * @param instance name of the instance
 * @param zone zone in which the instance runs
 * @param callerAddress listener address for callers
 * @param operatorAddress listener address for operators
 * @param peerAddress listener address for other instances; absent for an instance without peers
 * @param logAddress address of the log service
 * @param logStream name of the log stream with the agreed records
 * @param instanceListAddress address of the service that lists the instances; absent if there is
 *     none
 * @param weightStoreAddress address of the weight store; absent if there is none
 * @param peerSecret reference to the secret that the instances share
 * @param maxBodyBytes largest request body, in bytes, at least 1
 * @param maxHeaderBytes largest request header, in bytes, at least 1
 * @param maxConnections largest number of open connections of callers, at least 1
 * @param drainTimeoutMs longest time for which a graceful shutdown waits for open requests, in
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
  /** Default name of the log stream with the agreed records. */
  public static final String DEFAULT_LOG_STREAM = "limpetdoor";

  /** Default reference to the shared secret. */
  public static final SecretReference DEFAULT_PEER_SECRET =
      new SecretReference.InEnvironment("LIMPETDOOR_PEER_SECRET");

  /** 4 MiB is enough for a prompt of a million characters. */
  public static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

  /** Default of {@code maxHeaderBytes}: 16 KiB. */
  public static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;

  /** Default limit on open connections of callers. */
  public static final int DEFAULT_MAX_CONNECTIONS = 10_000;

  /** 2 minutes is longer than the longest responses of the engines take. */
  public static final int DEFAULT_DRAIN_TIMEOUT_MS = 120_000;

  /** Checks ranges. */
  public InstanceSettings {
    Ranges.atLeast("maxBodyBytes", maxBodyBytes, 1);
    Ranges.atLeast("maxHeaderBytes", maxHeaderBytes, 1);
    Ranges.atLeast("maxConnections", maxConnections, 1);
    Ranges.atLeast("drainTimeoutMs", drainTimeoutMs, 0);
  }

  /** Returns settings with the given required values and defaults for the optional ones. */
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

  /** Returns a copy with other listener addresses for callers and operators. */
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
