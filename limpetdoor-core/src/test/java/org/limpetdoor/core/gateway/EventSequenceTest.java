package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventSequenceTest {
  private static EventSequence after(String... ids) {
    EventSequence sequence = EventSequence.EMPTY;
    for (String id : ids) {
      sequence = sequence.plus(Optional.of(id));
    }
    return sequence;
  }

  private static boolean resumes(EventSequence sequence, String id) {
    return sequence.accepts(Optional.of(id), true);
  }

  /** Guards against a repeated event, also within the stream of one engine. */
  @Test
  void rejectsRepeatedEvents() {
    EventSequence sequence = after("4", "5");

    assertThat(resumes(sequence, "5")).isFalse();
    assertThat(resumes(sequence, "4")).isFalse();
    assertThat(sequence.accepts(Optional.of("5"), false)).isFalse();
    assertThat(resumes(sequence, "6")).isTrue();
  }

  /** Guards against a missing event after a resume. */
  @Test
  void rejectsAGapOnlyWhereTheStepIsKnown() {
    assertThat(resumes(after("4", "5"), "7")).isFalse();
    assertThat(resumes(after("4", "6"), "9")).isTrue();
    assertThat(resumes(after("4"), "6")).isTrue();
    assertThat(after("4", "5").accepts(Optional.of("7"), false)).isTrue();
  }

  /** Guards against text that belongs to no event of the stream. */
  @Test
  void rejectsAnUnnumberedFirstEventAfterAResume() {
    EventSequence sequence = after("4", "5");

    assertThat(sequence.accepts(Optional.empty(), true)).isFalse();
    assertThat(resumes(sequence, "x")).isFalse();
    assertThat(resumes(sequence, "")).isFalse();
    assertThat(sequence.accepts(Optional.empty(), false)).isTrue();
  }

  /** Guards against a restart of a stream whose events show no place to resume at. */
  @Test
  void rejectsAResumeWithoutALastNumber() {
    assertThat(resumes(EventSequence.EMPTY, "1")).isFalse();
    assertThat(EventSequence.EMPTY.accepts(Optional.of("1"), false)).isTrue();
    assertThat(EventSequence.EMPTY.plus(Optional.empty()).lastNumber()).isEqualTo(Optional.empty());
  }
}
