Feature: Failed attempts are retried without running a call twice

  Background:
    Given a plain service "orders" with 2 endpoints of 4 slots
    And a customer "coop"

  # Guards against "not run" after an earlier attempt ran and only its reply was lost.
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

  # Guards against giving up on a call that certainly did not run.
  Scenario: A call that may not be repeated is sent elsewhere if it did not start
    Given back end "orders1" drains
    When "coop" sends call "c1" "POST" "/reserve" to service "orders"
    And 3000 ms pass
    Then request "c1" finishes
    And request "c1" took 2 attempts
