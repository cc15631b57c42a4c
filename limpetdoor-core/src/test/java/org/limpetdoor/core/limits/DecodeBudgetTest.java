package org.limpetdoor.core.limits;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests when turns and rounds of decoding end. */
class DecodeBudgetTest {
  private final DecodeBudget budget = new DecodeBudget(10, 100);

  @Test
  void endsATurnAndARoundAtTheirNumbers() {
    assertThat(budget.endsTurn(9)).isFalse();
    assertThat(budget.endsTurn(10)).isTrue();
    assertThat(budget.endsRound(99)).isFalse();
    assertThat(budget.endsRound(100)).isTrue();
  }

  /** Guards against a round that ends before its first turn. */
  @Test
  void rejectsARoundShorterThanATurn() {
    assertThrows(IllegalArgumentException.class, () -> new DecodeBudget(10, 9));
    assertThrows(IllegalArgumentException.class, () -> new DecodeBudget(0, 9));
  }
}
