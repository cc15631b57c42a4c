Feature: Requests are answered

  Background:
    Given a model "m1"
    And 2 engines with 2 slots in zone "a" for model "m1"
    And a customer "coop"

  # Guards against requests that are lost between the front end and the engines.
  Scenario: Work within capacity is answered
    When "coop" sends 20 requests per second to "m1" for 1000 ms with 10 tokens each
    And 5000 ms pass
    Then all requests of "coop" finish

  # Guards against slots that stay occupied after a caller has disconnected.
  Scenario: A caller that disconnects frees its slot
    When "coop" sends request "r1" to "m1" with 500 tokens
    And "coop" sends request "r2" to "m1" with 500 tokens
    And "coop" sends request "r3" to "m1" with 500 tokens
    And "coop" sends request "r4" to "m1" with 500 tokens
    And "coop" sends request "r5" to "m1" with 10 tokens
    And 100 ms pass
    And the caller of "r1" disconnects
    And 1000 ms pass
    Then request "r5" finishes
    And request "r1" is not answered
