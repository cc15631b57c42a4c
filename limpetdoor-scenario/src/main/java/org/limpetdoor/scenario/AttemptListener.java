package org.limpetdoor.scenario;

import org.limpetdoor.core.request.AttemptFailure;

/** Receives the progress of an attempt at a fake back end. */
interface AttemptListener {
  void started(BackendJob job);

  void completed(BackendJob job, int outputTokens);

  void failed(BackendJob job, AttemptFailure failure, int deliveredTokens);
}
