Feature: Long work does not delay short work

  Background:
    Given a model "m1" with long work from 300 tokens
    And 2 engines with 8 slots in zone "a" for model "m1"
    And the customers
      | customer | objective ms |
      | coop     | 60000        |
      | exchange | 1000         |
      | yard     | 60000        |

  # Guards against long work that takes all slots.
  Scenario: Long work leaves slots for short work
    When "coop" sends 40 requests at once to "m1" with 1000 tokens each
    And 100 ms pass
    And "exchange" sends 20 requests per second to "m1" for 5000 ms with 10 tokens each
    And 10000 ms pass
    Then all requests of "exchange" finish
    And 99 in 100 requests of "exchange" start within 100 ms

  # Guards against long requests that were predicted to be short and occupy all slots.
  Scenario: Work that exceeds its prediction is preempted
    When "coop" sends 20 requests per second to "m1" for 3000 ms with 10 of at most 2000 tokens each
    And 5000 ms pass
    And "coop" sends 40 requests at once to "m1" with 2000 tokens each
    And 8000 ms pass
    And "exchange" sends 20 requests per second to "m1" for 5000 ms with 10 tokens each
    And 10000 ms pass
    Then all requests of "exchange" finish
    And 99 in 100 requests of "exchange" start within 100 ms

  # Guards against long work of one customer that blocks long work of another.
  Scenario: Slots for long work are shared by weight
    When "coop" sends 60 requests at once to "m1" with 400 tokens each
    And 100 ms pass
    And "yard" sends 10 requests at once to "m1" with 400 tokens each
    And 20000 ms pass
    Then all requests of "yard" finish
    And 100 in 100 requests of "yard" start within 13000 ms
