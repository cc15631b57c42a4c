Feature: Back ends that are leaving get no new work

  Background:
    Given a model "m1"
    And 3 engines with 4 slots in zone "a" for model "m1"
    And a customer "coop"

  # Guards against trying the same draining engine first for every request.
  Scenario: An engine that refuses requests as not started gets no more of them
    Given back end "e1" drains
    When "coop" sends 20 requests per second to "m1" for 4000 ms with 10 tokens each
    And 5000 ms pass
    Then all requests of "coop" finish
    And back end "e1" refused at most 3 attempts

  # Guards against an engine that stays unused after it stopped draining.
  Scenario: An engine that stopped draining is used again
    Given back end "e1" drains
    When "coop" sends 40 requests per second to "m1" for 30000 ms with 10 tokens each
    And 3000 ms pass
    And back end "e1" stops draining
    And 28000 ms pass
    Then all requests of "coop" finish
    And back end "e1" was handed at least 200 attempts

  # Guards against new work on an engine that the platform is about to stop.
  Scenario: Announcing an engine as leaving stops new work at once
    When "coop" sends request "r1" to "m1" with 100 tokens
    And 20 ms pass
    And back end "e1" is announced as leaving
    And "coop" sends 20 requests per second to "m1" for 10000 ms with 10 tokens each
    And 12000 ms pass
    Then all requests of "coop" finish
    And request "r1" took 1 attempt
    And back end "e1" was handed at most 1 attempt

  # Guards against a freed slot of a removed engine that is filled from the queue.
  Scenario: A removed engine gets nothing from the queue
    When "coop" sends 24 requests at once to "m1" with 20 tokens each
    And 20 ms pass
    And back end "e1" is removed from the configuration
    And 3000 ms pass
    Then all requests of "coop" finish
    And back end "e1" was handed at most 4 attempts

  # Guards against requests that are lost between a crash and a drain at the same time.
  Scenario: An engine crashes while another one drains
    When "coop" sends 20 requests per second to "m1" for 4000 ms with 10 tokens each
    And 1000 ms pass
    And back end "e1" drains
    And 100 ms pass
    And back end "e2" crashes
    And 5000 ms pass
    Then all requests of "coop" finish
    And back end "e1" refused at most 3 attempts
