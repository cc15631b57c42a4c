package org.limpetdoor.core.agreed;

import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.LogRecord.LaterReaderNeeded;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.decision.ConfigurationDecision;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.decision.LogStopDecision;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state that all instances share: the same on each instance that has folded the log up to the
 * same offset.
 *
 * @param nextOffset offset of the next record to fold
 * @param configurationVersion offset of the accepted publication in force, or -1 before the first
 * @param configuration the content in force
 * @param lastSequences highest sequence number seen from each appender, to drop repeated appends
 * @param stopped whether the next record needs a later reader, so that nothing more is folded
 */
public record AgreedState(
    long nextOffset,
    long configurationVersion,
    Configuration configuration,
    PMap<String, Long> lastSequences,
    boolean stopped) {

  /** Version before anything was published; the first publication names it as its base. */
  public static final long NO_VERSION = -1;

  /** The state before the first record. */
  public static final AgreedState INITIAL =
      new AgreedState(0, NO_VERSION, Configuration.EMPTY, HashTreePMap.empty(), false);

  /**
   * Folds one record. Records before {@link #nextOffset()} and repeated appends change nothing, nor
   * does any record once the fold has stopped.
   */
  public Transition<AgreedState, Decision> fold(StoredRecord stored) {
    if (stopped || stored.offset() < nextOffset) {
      return Transition.of(this);
    }
    if (stored.envelope().content() instanceof LaterReaderNeeded needed) {
      return stop(stored.offset(), needed);
    }
    AgreedState advanced = withNextOffset(stored.offset() + 1);
    if (isRepeated(stored.envelope().id())) {
      return Transition.of(advanced);
    }
    AgreedState noted = advanced.withSequence(stored.envelope().id());
    if (stored.envelope().content() instanceof ConfigurationPublished published) {
      return noted.publish(stored.offset(), published);
    }
    return Transition.of(noted);
  }

  private Transition<AgreedState, Decision> stop(long offset, LaterReaderNeeded needed) {
    LogStopDecision decision =
        new LogStopDecision(offset, needed.minReaderVersion(), needed.readerVersion());
    AgreedState next =
        new AgreedState(offset, configurationVersion, configuration, lastSequences, true);
    return Transition.of(next, decision);
  }

  private Transition<AgreedState, Decision> publish(long offset, ConfigurationPublished record) {
    boolean accepted = record.baseVersion() == configurationVersion;
    ConfigurationDecision decision =
        new ConfigurationDecision(
            offset, record.baseVersion(), configurationVersion, accepted, record.publisher());
    if (!accepted) {
      return Transition.of(this, decision);
    }
    Configuration content = record.patch().applyTo(configuration);
    return Transition.of(
        new AgreedState(nextOffset, offset, content, lastSequences, stopped), decision);
  }

  private boolean isRepeated(AppendId id) {
    return lastSequences.getOrDefault(id.appender(), 0L) >= id.sequence();
  }

  private AgreedState withNextOffset(long value) {
    return new AgreedState(value, configurationVersion, configuration, lastSequences, stopped);
  }

  private AgreedState withSequence(AppendId id) {
    return new AgreedState(
        nextOffset,
        configurationVersion,
        configuration,
        lastSequences.plus(id.appender(), id.sequence()),
        stopped);
  }
}
