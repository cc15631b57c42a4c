package org.limpetdoor.cli;

import java.util.Optional;
import java.util.OptionalLong;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.decision.ConfigurationDecision;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.runtime.log.LogService;
import org.limpetdoor.runtime.log.LogServiceException;

/** Publishes a configuration: appends it once, then reads the log back for the result. */
final class Publisher {
  private static final int MAX_APPEND_ATTEMPTS = 5;

  private final LogService log;
  private final HistoryLog historyLog;
  private final Retry retry;

  Publisher(LogService log, int retryDelayMs) {
    this.log = log;
    this.historyLog = new HistoryLog(log, retryDelayMs);
    this.retry = new Retry(MAX_APPEND_ATTEMPTS, retryDelayMs);
  }

  /**
   * Publishes a configuration.
   *
   * @param content the configuration
   * @param base version that the operator started from; empty for the version in force
   * @param publisher name of the operator
   * @param appender unique appender name of this publication
   * @throws CliException if the log no longer has all records, or if the outcome is unknown
   * @throws LogServiceException if the log cannot be used and nothing was changed
   */
  Publication publish(Configuration content, OptionalLong base, String publisher, String appender) {
    History before = historyLog.readAll();
    long version = before.version();
    if (base.isPresent() && base.getAsLong() != version) {
      return new Publication.Conflict(base.getAsLong(), version, publisherOf(before, version));
    }
    ConfigurationPatch patch = ConfigurationPatch.between(before.configuration(), content);
    if (patch.isEmpty()) {
      return new Publication.Unchanged(version);
    }
    AppendId id = new AppendId(appender, 1);
    append(new Envelope(id, new ConfigurationPublished(version, publisher, patch)), before);
    return outcome(id, readBack(before));
  }

  private void append(Envelope envelope, History before) {
    byte[] body = LogRecordCodec.encode(envelope);
    boolean[] mayHaveTakenEffect = {false};
    try {
      retry.call(() -> appendOnce(body, mayHaveTakenEffect));
    } catch (LogServiceException e) {
      // An earlier attempt may have been appended although the last one failed, so read back.
      if (!mayHaveTakenEffect[0]) {
        throw e;
      }
      if (findDecision(envelope.id(), readBack(before)).isEmpty()) {
        throw outcomeUnknown(e);
      }
    }
  }

  private Long appendOnce(byte[] body, boolean[] mayHaveTakenEffect) {
    try {
      return log.append(body);
    } catch (LogServiceException e) {
      mayHaveTakenEffect[0] |= e.failure().mayHaveTakenEffect();
      throw e;
    }
  }

  private History readBack(History before) {
    try {
      return historyLog.readFurther(before);
    } catch (LogServiceException | CliException e) {
      throw outcomeUnknown(e);
    }
  }

  private static Publication outcome(AppendId id, History after) {
    ConfigurationDecision decision =
        findDecision(id, after).orElseThrow(() -> outcomeUnknown(null));
    if (decision.accepted()) {
      return new Publication.Accepted(decision.offset());
    }
    long versionInForce = decision.versionInForce();
    return new Publication.Conflict(
        decision.baseVersion(), versionInForce, publisherOf(after, versionInForce));
  }

  private static Optional<ConfigurationDecision> findDecision(AppendId id, History history) {
    return history.publications().stream()
        .filter(publication -> publication.id().equals(id))
        .map(History.Publication::decision)
        .findFirst();
  }

  private static String publisherOf(History history, long version) {
    return history.publications().stream()
        .map(History.Publication::decision)
        .filter(decision -> decision.offset() == version)
        .map(ConfigurationDecision::publisher)
        .findFirst()
        .orElse("");
  }

  private static CliException outcomeUnknown(Throwable cause) {
    return new CliException(
        ExitCode.OUTCOME_UNKNOWN, "the log did not confirm the publication", cause);
  }
}
