package org.limpetdoor.scenario;

import org.limpetdoor.core.request.AttemptFailure;

/** Receives what a fake back end does with an attempt. */
interface AttemptListener {
  void started(BackendJob job);

  void completed(BackendJob job, int outputTokens);

  void failed(BackendJob job, AttemptFailure failure, int deliveredTokens);
}
