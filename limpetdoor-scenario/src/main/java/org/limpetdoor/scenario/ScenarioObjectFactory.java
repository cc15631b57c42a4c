package org.limpetdoor.scenario;

import io.cucumber.core.backend.ObjectFactory;
import java.lang.reflect.Constructor;
import java.util.HashMap;
import java.util.Map;

/** Creates a new simulation for each scenario and passes it to the step class constructors. */
public final class ScenarioObjectFactory implements ObjectFactory {
  private final Map<Class<?>, Object> instances = new HashMap<>();
  private ScenarioSimulation simulation = new ScenarioSimulation();

  @Override
  public boolean addClass(Class<?> glueClass) {
    return true;
  }

  @Override
  public <T> T getInstance(Class<T> type) {
    return type.cast(instances.computeIfAbsent(type, this::create));
  }

  @Override
  public void start() {
    simulation = new ScenarioSimulation();
    instances.clear();
  }

  @Override
  public void stop() {
    instances.clear();
  }

  private Object create(Class<?> type) {
    try {
      Constructor<?> constructor = type.getConstructor(ScenarioSimulation.class);
      return constructor.newInstance(simulation);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(type + " needs a public constructor with a ScenarioWorld", e);
    }
  }
}
