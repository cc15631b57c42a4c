Feature: Contracts decide which requests may wait and which are served first

  Background:
    Given a model "m1"
    And 2 engines with 4 slots in zone "a" for model "m1"

  # Guards against callers that exceed their contract at the expense of others.
  Scenario: Requests above the contracted rate are refused
    Given the customers
      | customer | requests per second | burst requests |
      | coop     | 10                  | 5              |
    When "coop" sends 20 requests at once to "m1" with 10 tokens each
    And 2000 ms pass
    Then 15 requests of "coop" are refused as "rate_exceeded"
    And every refusal of "coop" came within 0 ms

  # Guards against refusing callers only after they have waited for the whole objective.
  Scenario: Requests that cannot start within the objective are refused at once
    Given the customers
      | customer | objective ms |
      | coop     | 1000         |
    When "coop" sends 16 requests per second to "m1" for 3000 ms with 30 tokens each
    And 4000 ms pass
    And "coop" sends 200 requests at once to "m1" with 30 tokens each
    And "coop" sends request "late" to "m1" with 30 tokens
    And 5000 ms pass
    Then every refusal of "coop" came within 5 ms
    And no request of "coop" is refused as "deadline_passed"
    And at least 60 requests of "coop" finish
    And request "late" is refused as "cannot_start_in_time" with outcome "not_run"
    And request "late" asks for a retry after 100 to 10000 ms

  # Guards against a queue that grows beyond the contract.
  Scenario: The queue is bounded in requests
    Given the customers
      | customer | objective ms | queue requests |
      | coop     | 60000        | 10             |
    When "coop" sends 30 requests at once to "m1" with 30 tokens each
    And 10000 ms pass
    Then 12 requests of "coop" are refused as "queue_full"
    And at least 18 requests of "coop" finish

  # Guards against a customer that gets more than its weighted share by sending more.
  Scenario: Capacity is shared by weight
    Given the customers
      | customer | weight |
      | coop     | 3      |
      | exchange | 1      |
    When "coop" sends 100 requests per second to "m1" for 10000 ms with 30 tokens each
    And "exchange" sends 200 requests per second to "m1" for 10000 ms with 30 tokens each
    And 15000 ms pass
    Then "coop" has between 2.5 and 3.5 times as many finished requests as "exchange"
    And at least 200 requests of "coop" finish

  # Guards against a surge of one customer that delays requests within the guarantee of another.
  Scenario: A guaranteed share is served first
    Given the customers
      | customer | guaranteed | weight |
      | coop     | 0.5        | 1      |
      | exchange | 0          | 50     |
    When "exchange" sends 200 requests per second to "m1" for 10000 ms with 30 tokens each
    And "coop" sends 8 requests per second to "m1" for 10000 ms with 30 tokens each
    And 15000 ms pass
    Then all requests of "coop" finish
    And 99 in 100 requests of "coop" start within 400 ms

  # Guards against refusing customers with shed order "last" before the others.
  Scenario: Customers are refused in their shed order
    Given the customers
      | customer | shed  |
      | coop     | last  |
      | exchange | first |
    When "exchange" sends 100 requests per second to "m1" for 5000 ms with 30 tokens each
    And "coop" sends 12 requests per second to "m1" for 5000 ms with 30 tokens each
    And 10000 ms pass
    Then all requests of "coop" finish
    And at least 300 requests of "exchange" are refused as "cannot_start_in_time"

  # Guards against a growing queue that raises no alarm.
  Scenario: A queue whose age keeps rising raises an alarm before its objective passes
    Given the customers
      | customer | objective ms |
      | coop     | 60000        |
    When "coop" sends 40 requests per second to "m1" for 5000 ms with 30 tokens each
    And 6000 ms pass
    Then at least 1 decision of kind "queue_age_alarm" was recorded
    And no request of "coop" is refused as "deadline_passed"

  # Guards against alarms without a cause, which operators would start to ignore.
  Scenario: A short burst raises no alarm
    Given the customers
      | customer | objective ms |
      | coop     | 5000         |
    When "coop" sends 16 requests at once to "m1" with 30 tokens each
    And 10000 ms pass
    Then no decision of kind "queue_age_alarm" was recorded
