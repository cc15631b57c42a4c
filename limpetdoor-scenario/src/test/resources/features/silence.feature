Feature: Silent attempts time out after a delay that fits the model

  Background:
    Given a model "m1"
    And 3 engines with 16 slots in zone "a" for model "m1"
    And a customer "coop"
    When "coop" sends 10 requests per second to "m1" for 1000 ms with 10 tokens each
    And 2000 ms pass

  # Guards against a ten-second wait for a silent back end when answers usually start in milliseconds.
  Scenario: A silent attempt is retried soon when the model is fast
    Given back end "e1" has fault "silent" for the next 1 attempt
    When "coop" sends request "r1" to "m1" with 10 tokens
    And 15000 ms pass
    Then request "r1" finishes
    And request "r1" took 2 attempts
    And request "r1" ends within 2500 ms

  # Guards against a silent attempt that is retried on an engine that is leaving.
  Scenario: One attempt is silent while another engine drains
    Given back end "e1" has fault "silent" for the next 1 attempt
    And back end "e2" drains
    When "coop" sends request "r1" to "m1" with 10 tokens
    And 15000 ms pass
    Then request "r1" finishes
    And request "r1" ends within 2500 ms
