Feature: Failed attempts are retried without running a call twice

  Background:
    Given a plain service "orders" with 2 endpoints of 4 slots
    And a customer "coop"

  # Guards against the outcome "not run" after an earlier attempt ran and only its reply was lost.
  Scenario: A lost reply makes every later refusal "unknown"
    Given back end "orders1" has fault "reply lost" for the next 1 attempt
    And back end "orders2" crashes
    When "coop" sends call "c1" "GET" "/lots" to service "orders"
    And 3000 ms pass
    Then request "c1" is refused as "backend_failed" with outcome "unknown"

  # Guards against a reservation that runs twice.
  Scenario: A call that may not be repeated is not sent again after it may have run
    Given back end "orders1" has fault "reply lost" for the next 1 attempt
    When "coop" sends call "c1" "POST" "/reserve" to service "orders"
    And 3000 ms pass
    Then request "c1" is refused as "backend_failed" with outcome "unknown"
    And back end "orders2" was handed at most 0 attempts

  # Guards against failing a call without a retry although it certainly did not run.
  Scenario: A call that may not be repeated is sent elsewhere if it did not start
    Given back end "orders1" drains
    When "coop" sends call "c1" "POST" "/reserve" to service "orders"
    And 3000 ms pass
    Then request "c1" finishes
    And request "c1" took 2 attempts

  # Guards against retries that multiply the load while every back end fails.
  Scenario: Retries stay within their budget
    Given a model "m1"
    And 4 engines with 16 slots in zone "a" for model "m1"
    And every back end has fault "error answer" for the next 10000 attempts
    When "coop" sends 50 requests per second to "m1" for 6000 ms with 10 tokens each
    And 10000 ms pass
    Then all back ends together were handed at most 400 attempts

  # Guards against a refusal while another engine becomes free within the objective.
  Scenario: A failed request waits for another engine
    Given a model "m1"
    And 2 engines with 1 slot in zone "a" for model "m1"
    When "coop" sends request "r1" to "m1" with 50 tokens
    And "coop" sends request "r2" to "m1" with 50 tokens
    And 10 ms pass
    And back end "e1" crashes
    And 2000 ms pass
    Then all requests of "coop" finish

  # Guards against a stream that restarts from its first token after an interruption.
  Scenario: A broken stream resumes after the last token that the caller received
    Given a model "m1"
    And 2 engines with 4 slots in zone "a" for model "m1"
    When "coop" sends request "r1" to "m1" with 200 tokens
    And 1500 ms pass
    And back end "e1" crashes
    And 5000 ms pass
    Then request "r1" finishes
    And request "r1" took 2 attempts
    And request "r1" ends within 2100 ms
