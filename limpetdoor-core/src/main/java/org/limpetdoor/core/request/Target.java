package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;

/** The target of a request: a model or a plain service. */
public sealed interface Target {
  /** Returns the name for log lines. */
  String label();

  /**
   * A call of a model.
   *
   * @param model the model
   * @param adapter the adapter, if the caller named one
   */
  record ModelTarget(ModelId model, Optional<AdapterId> adapter) implements Target {
    @Override
    public String label() {
      return adapter.map(a -> model + "+" + a).orElse(model.value());
    }
  }

  /**
   * A call of a plain service.
   *
   * @param service the service
   * @param method HTTP method
   * @param path path within the service, beginning with {@code /}
   */
  record ServiceTarget(ServiceId service, String method, String path) implements Target {
    @Override
    public String label() {
      return service.value();
    }
  }
}
