package org.limpetdoor.core.gateway;

import java.util.Optional;

/**
 * Identifiers of the events of a stream that the caller has received. Engines number events in
 * increasing order. The step between two numbers is not specified, so a gap is only found in a
 * stream whose numbers have risen by one so far.
 *
 * @param lastNumber number of the last event, or empty before the first one
 * @param numbered count of events with a number
 * @param consecutive whether the numbers have risen by one so far
 */
public record EventSequence(Optional<Long> lastNumber, int numbered, boolean consecutive) {
  /** The sequence before the first event. */
  public static final EventSequence EMPTY = new EventSequence(Optional.empty(), 0, true);

  private static final int MIN_NUMBERED_FOR_STEP = 2;

  /**
   * Returns the sequence with an event added.
   *
   * @param id identifier of the event, if it has one
   */
  public EventSequence plus(Optional<String> id) {
    Optional<Long> number = id.flatMap(EventSequence::parse);
    if (number.isEmpty()) {
      return this;
    }
    boolean next = lastNumber.map(last -> last + 1 == number.get()).orElse(true);
    return new EventSequence(number, numbered + 1, consecutive && next);
  }

  /**
   * Returns whether the caller may receive an event next. Until the engine that sends it has sent
   * an event with a number, nothing else shows that it continues this stream.
   *
   * @param id identifier of the event, if it has one
   * @param resuming whether it is the first event of an engine that resumes the stream
   */
  public boolean accepts(Optional<String> id, boolean resuming) {
    Optional<Long> number = id.flatMap(EventSequence::parse);
    if (number.isEmpty()) {
      return !resuming;
    }
    boolean increases = lastNumber.isEmpty() ? !resuming : number.get() > lastNumber.get();
    return increases && !(resuming && leavesGap(number.get()));
  }

  private boolean leavesGap(long number) {
    boolean stepKnown = consecutive && numbered >= MIN_NUMBERED_FOR_STEP;
    return stepKnown && number != lastNumber.orElseThrow() + 1;
  }

  /** Parses a number of at most 18 digits, which a long can hold. */
  private static Optional<Long> parse(String id) {
    return id.matches("[0-9]{1,18}") ? Optional.of(Long.parseLong(id)) : Optional.empty();
  }
}
