package org.limpetdoor.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.limpetdoor.standin.engine.EngineSettings;
import org.limpetdoor.standin.instances.InstancesSettings;
import org.limpetdoor.standin.log.LogSettings;
import org.limpetdoor.standin.service.ServiceSettings;
import org.limpetdoor.standin.weights.WeightsSettings;

/** Settings of one stand-in; the member {@code role} selects the type. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "role")
@JsonSubTypes({
  @JsonSubTypes.Type(value = LogSettings.class, name = "log"),
  @JsonSubTypes.Type(value = EngineSettings.class, name = "engine"),
  @JsonSubTypes.Type(value = ServiceSettings.class, name = "service"),
  @JsonSubTypes.Type(value = InstancesSettings.class, name = "instances"),
  @JsonSubTypes.Type(value = WeightsSettings.class, name = "weights"),
})
public interface StandinSettings {
  /** Returns the role of the stand-in that these settings configure. */
  StandinRole role();

  /** Returns the address to listen on; port 0 selects a free port. */
  ListenAddress address();
}
