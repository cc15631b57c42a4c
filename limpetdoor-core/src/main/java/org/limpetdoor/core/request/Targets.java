package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.config.Repeatability;
import org.limpetdoor.core.request.Target.ModelTarget;
import org.limpetdoor.core.request.Target.ServiceTarget;

/** Looks up targets in the configuration in force. */
final class Targets {
  private Targets() {}

  /** Returns the reason for refusal if a target is not configured. */
  static Optional<RefusalReason> refusalReason(Configuration configuration, Target target) {
    if (target instanceof ServiceTarget service) {
      boolean configured = configuration.services().containsKey(service.service());
      return configured ? Optional.empty() : Optional.of(RefusalReason.UNKNOWN_SERVICE);
    }
    ModelTarget model = (ModelTarget) target;
    if (!configuration.models().containsKey(model.model())) {
      return Optional.of(RefusalReason.UNKNOWN_MODEL);
    }
    boolean adapterConfigured =
        model
            .adapter()
            .map(configuration.adapters()::get)
            .map(a -> isForModel(a, model))
            .orElse(model.adapter().isEmpty());
    return adapterConfigured ? Optional.empty() : Optional.of(RefusalReason.UNKNOWN_ADAPTER);
  }

  /**
   * Returns whether the request may be sent again after it may have run. Model calls have no side
   * effects.
   */
  static Repeatability repeatability(Configuration configuration, Target target) {
    if (target instanceof ServiceTarget call) {
      PlainService service = configuration.services().get(call.service());
      return service == null
          ? Repeatability.AT_MOST_ONCE
          : service.repeatability(call.method(), call.path());
    }
    return Repeatability.IDEMPOTENT;
  }

  private static boolean isForModel(Adapter adapter, ModelTarget target) {
    return adapter.model().equals(target.model());
  }
}
