package org.limpetdoor.format.settings;

import java.util.Optional;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.json.DocumentReader;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.json.ObjectReader;
import org.limpetdoor.format.json.ReadResult;
import org.limpetdoor.format.json.ValueType;
import org.limpetdoor.format.json.ValueTypes;

/** Reads instance settings in JSON with comments. */
public final class SettingsReader {
  private static final ValueType<Optional<HostPort>> OPTIONAL_ADDRESS =
      (value, path, problems) ->
          Optional.ofNullable(ValueTypes.address().read(value, path, problems));

  private static final ValueType<String> STREAM_NAME =
      ValueTypes.matching("[A-Za-z0-9._-]+", "letters, digits or the characters . _ -");

  private SettingsReader() {}

  /**
   * Reads settings and reports all problems of the document in one pass.
   *
   * @param source name of the document, used in error messages
   * @param text text of the document
   */
  public static ReadResult<InstanceSettings> read(String source, String text) {
    return DocumentReader.read(source, text, ValueTypes.object(SettingsReader::readSettings));
  }

  private static InstanceSettings readSettings(ObjectReader in) {
    InstanceId instance = in.required("instance", ValueTypes.name(InstanceId::new));
    ZoneId zone = in.required("zone", ValueTypes.name(ZoneId::new));
    HostPort callers = in.required("callerAddress", ValueTypes.address());
    HostPort operators = in.required("operatorAddress", ValueTypes.address());
    HostPort log = in.required("logAddress", ValueTypes.address());
    Optional<HostPort> peers = in.optional("peerAddress", OPTIONAL_ADDRESS, Optional.empty());
    String stream = in.optional("logStream", STREAM_NAME, InstanceSettings.DEFAULT_LOG_STREAM);
    Optional<HostPort> list =
        in.optional("instanceListAddress", OPTIONAL_ADDRESS, Optional.empty());
    Optional<HostPort> weights =
        in.optional("weightStoreAddress", OPTIONAL_ADDRESS, Optional.empty());
    SecretReference secret =
        in.optional(
            "peerSecret",
            ValueTypes.object(SettingsReader::readSecret),
            InstanceSettings.DEFAULT_PEER_SECRET);
    Integer body = readPositiveInteger(in, "maxBodyBytes", InstanceSettings.DEFAULT_MAX_BODY_BYTES);
    Integer header =
        readPositiveInteger(in, "maxHeaderBytes", InstanceSettings.DEFAULT_MAX_HEADER_BYTES);
    Integer connections =
        readPositiveInteger(in, "maxConnections", InstanceSettings.DEFAULT_MAX_CONNECTIONS);
    Integer drain =
        in.optional(
            "drainTimeoutMs", ValueTypes.integer(0), InstanceSettings.DEFAULT_DRAIN_TIMEOUT_MS);
    return in.build(
        () ->
            new InstanceSettings(
                instance,
                zone,
                callers,
                operators,
                peers,
                log,
                stream,
                list,
                weights,
                secret,
                body,
                header,
                connections,
                drain));
  }

  private static Integer readPositiveInteger(ObjectReader in, String name, int fallback) {
    return in.optional(name, ValueTypes.integer(1), fallback);
  }

  private static SecretReference readSecret(ObjectReader in) {
    String file = in.optional("file", ValueTypes.text(), null);
    String variable = in.optional("environment", ValueTypes.text(), null);
    return in.build(() -> toReference(file, variable));
  }

  private static SecretReference toReference(String file, String variable) {
    if ((file == null) == (variable == null)) {
      throw new AmbiguousSecretException();
    }
    return file == null
        ? new SecretReference.InEnvironment(variable)
        : new SecretReference.InFile(file);
  }
}
