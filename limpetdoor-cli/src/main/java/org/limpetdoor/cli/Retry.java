package org.limpetdoor.cli;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.limpetdoor.runtime.log.LogServiceException;

/**
 * Retries calls of the log service after temporary failures.
 *
 * @param maxAttempts maximum number of calls, at least 1
 * @param delayMs delay before each repeated call, in milliseconds, at least 0
 */
record Retry(int maxAttempts, int delayMs) {
  /** Returns the result of the first call that succeeds, or throws the failure of the last one. */
  <T> T call(Supplier<T> call) {
    for (int attempt = 1; ; attempt++) {
      try {
        return attempt == 1 ? call.get() : callAfterDelay(call);
      } catch (LogServiceException e) {
        if (attempt >= maxAttempts || !e.failure().mayRetry()) {
          throw e;
        }
      }
    }
  }

  private <T> T callAfterDelay(Supplier<T> call) {
    Executor delayed = CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS);
    try {
      return CompletableFuture.supplyAsync(call, delayed).join();
    } catch (CompletionException e) {
      if (e.getCause() instanceof LogServiceException failure) {
        throw failure;
      }
      throw e;
    }
  }
}
