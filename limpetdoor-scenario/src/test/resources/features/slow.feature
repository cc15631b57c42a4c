Feature: Slow engines get less work

  Background:
    Given a model "m1"
    And 4 engines with 16 slots in zone "a" for model "m1"
    And a customer "coop"

  # Guards against an equal share of the work for an engine that other workloads slow down.
  Scenario: A slow engine gets a smaller share and keeps a probe share
    When back end "e1" is slower by a factor of 5
    And "coop" sends 100 requests per second to "m1" for 10000 ms with 10 tokens each
    And 15000 ms pass
    Then all requests of "coop" finish
    And back end "e1" was handed at most 30 attempts
    And back end "e1" was handed at least 5 attempts

  # Guards against an engine that stays unused after it became fast again.
  Scenario: An engine that is fast again gets its share back
    When back end "e1" is slower by a factor of 5
    And "coop" sends 100 requests per second to "m1" for 30000 ms with 10 tokens each
    And 5000 ms pass
    And back end "e1" is slower by a factor of 1
    And 30000 ms pass
    Then all requests of "coop" finish
    And back end "e1" was handed at least 450 attempts

  # Guards against lowering the weight of all engines when the whole fleet is slow.
  Scenario: No engine is avoided when all are slow together
    When all back ends are slower by a factor of 5
    And "coop" sends 50 requests per second to "m1" for 10000 ms with 10 tokens each
    And 15000 ms pass
    Then all requests of "coop" finish
    And no back end was handed more than 160 attempts

  # Guards against moving work to the slow engine when a faster one is lost.
  Scenario: One engine is slow while another one crashes
    When back end "e1" is slower by a factor of 5
    And "coop" sends 100 requests per second to "m1" for 10000 ms with 10 tokens each
    And 3000 ms pass
    And back end "e2" crashes
    And 12000 ms pass
    Then all requests of "coop" finish
    And back end "e1" was handed at most 40 attempts
