Feature: Routing prefers near engines and cached prefixes, and spreads load

  # Guards against traffic over expensive links while the own zone has free slots.
  Scenario: Engines in the own zone are preferred
    Given a model "m1"
    And 2 engines with 8 slots in zone "b" for model "m1"
    And 2 engines with 8 slots in zone "a" for model "m1"
    And a customer "coop"
    When "coop" sends 2 requests per second to "m1" for 10000 ms with 30 tokens each
    And 11000 ms pass
    Then all requests of "coop" finish
    And back end "e1" was handed at most 0 attempts
    And back end "e2" was handed at most 0 attempts

  # Guards against idle engines in other zones while the own zone is full.
  Scenario: Other zones take requests beyond the capacity of the own zone
    Given a model "m1"
    And 2 engines with 2 slots in zone "a" for model "m1"
    And 2 engines with 2 slots in zone "b" for model "m1"
    And a customer "coop"
    When "coop" sends 8 requests at once to "m1" with 100 tokens each
    And 2000 ms pass
    Then 100 in 100 requests of "coop" start within 100 ms

  # Guards against recomputing the same prompt prefix on every engine.
  Scenario: Requests with the same prefix go to the engine that has it
    Given a model "m1"
    And 4 engines with 8 slots in zone "a" for model "m1"
    And a customer "coop"
    When "coop" sends 10 requests per second to "m1" for 20000 ms with 10 tokens each over 20 prefixes of 2000 tokens
    And 25000 ms pass
    Then all requests of "coop" finish
    And at least 85 in 100 requests find their prefix cached

  # Guards against sending all requests with a popular prefix to one engine.
  Scenario: A popular prefix spreads when its engine is loaded
    Given a model "m1"
    And 4 engines with 8 slots in zone "a" for model "m1"
    And a customer "coop"
    When "coop" sends 60 requests per second to "m1" for 5000 ms with 30 tokens each over 1 prefixes of 1000 tokens
    And 10000 ms pass
    Then all requests of "coop" finish
    And no back end was handed more than 150 attempts

  # Guards against concurrent adapter loads that slow each other down.
  Scenario: Adapter loads stay within the platform limit
    Given a model "m1"
    And 60 adapters of model "m1"
    And at most 5 adapter loads at once
    And 8 engines with 16 slots in zone "a" for model "m1"
    And a customer "coop"
    When "coop" sends 2 requests at once to each of 60 adapters of "m1"
    And 5000 ms pass
    Then all requests of "coop" finish
    And at most 5 adapter loads were in flight at once

  # Guards against loading an adapter on every engine.
  Scenario: An engine that holds the adapter is preferred
    Given a model "m1"
    And 4 adapters of model "m1"
    And 4 engines with 16 slots in zone "a" for model "m1"
    And a customer "coop"
    When "coop" sends 4 requests at once to each of 3 adapters of "m1"
    And 1000 ms pass
    And "coop" sends 4 requests at once to each of 3 adapters of "m1"
    And 1000 ms pass
    Then all requests of "coop" finish
    And at most 4 adapter loads happened
