package org.limpetdoor.core.request;

import java.util.Comparator;
import org.limpetdoor.core.request.Target.ModelTarget;
import org.limpetdoor.core.request.Target.ServiceTarget;

/**
 * Identifies an upstream that a set of back ends serves: a model with all its adapters, or a plain
 * service.
 *
 * @param service whether the upstream is a plain service
 * @param name name of the model or the service
 */
record UpstreamId(boolean service, String name) implements Comparable<UpstreamId> {
  private static final Comparator<UpstreamId> ORDER =
      Comparator.comparing(UpstreamId::name).thenComparing(UpstreamId::service);

  @Override
  public int compareTo(UpstreamId other) {
    return ORDER.compare(this, other);
  }

  static UpstreamId of(Target target) {
    if (target instanceof ServiceTarget call) {
      return new UpstreamId(true, call.service().value());
    }
    return new UpstreamId(false, ((ModelTarget) target).model().value());
  }
}
