package org.limpetdoor.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.format.json.ValueTypes;

/** Thrown when a call of the operator interface of an instance fails. */
final class InstanceException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  private final InstanceFailure failure;
  private final String address;

  InstanceException(InstanceFailure failure, String address, String message, Throwable cause) {
    super("instance " + address + ": " + message, null, cause);
    this.failure = failure;
    this.address = address;
  }

  InstanceFailure failure() {
    return failure;
  }

  Map<String, Object> fields() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("instance", address);
    fields.put("failure", ValueTypes.lowerCaseName(failure));
    fields.put("message", getMessage());
    return fields;
  }

  String line() {
    return getMessage() + " (" + ValueTypes.lowerCaseName(failure) + ")";
  }
}
