package org.limpetdoor.standin;

import java.util.Locale;
import org.limpetdoor.standin.effect.Connections;
import org.limpetdoor.standin.engine.EngineSettings;
import org.limpetdoor.standin.engine.EngineStandin;
import org.limpetdoor.standin.instances.InstancesSettings;
import org.limpetdoor.standin.instances.InstancesStandin;
import org.limpetdoor.standin.log.LogSettings;
import org.limpetdoor.standin.log.LogStandin;
import org.limpetdoor.standin.service.ServiceSettings;
import org.limpetdoor.standin.service.ServiceStandin;
import org.limpetdoor.standin.weights.WeightsSettings;
import org.limpetdoor.standin.weights.WeightsStandin;

/** The external systems that have a stand-in. */
public enum StandinRole {
  /** Append-only log service. */
  LOG {
    @Override
    Standin<?> create(StandinSettings settings, Connections connections) {
      return new LogStandin((LogSettings) settings, connections);
    }
  },
  /** Model engine. */
  ENGINE {
    @Override
    Standin<?> create(StandinSettings settings, Connections connections) {
      return new EngineStandin((EngineSettings) settings, connections);
    }
  },
  /** Plain service. */
  SERVICE {
    @Override
    Standin<?> create(StandinSettings settings, Connections connections) {
      return new ServiceStandin((ServiceSettings) settings, connections);
    }
  },
  /** Instance list whose changes become visible after a delay. */
  INSTANCES {
    @Override
    Standin<?> create(StandinSettings settings, Connections connections) {
      return new InstancesStandin((InstancesSettings) settings, connections);
    }
  },
  /** Rate-limited weight store. */
  WEIGHTS {
    @Override
    Standin<?> create(StandinSettings settings, Connections connections) {
      return new WeightsStandin((WeightsSettings) settings, connections);
    }
  };

  /** Creates the stand-in of this role and starts its control loop. */
  abstract Standin<?> create(StandinSettings settings, Connections connections);

  /** Returns the role name used in settings, which also selects the HTTP controller. */
  public String settingsName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
