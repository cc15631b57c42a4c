Feature: Requests that crash engines are detected and refused

  Background:
    Given a model "m1"
    And a customer "coop"

  # Guards against a crashing request that its caller repeats until all engines are down.
  Scenario: A request that crashes every engine is banned
    Given 4 engines with 8 slots in zone "a" for model "m1"
    And every back end crashes on fingerprint 70000
    When "coop" sends 40 requests per second to "m1" for 6000 ms with 10 tokens each
    And 500 ms pass
    And "coop" sends request "bad" to "m1" with 10 tokens and fingerprint 70000
    And 2000 ms pass
    And "coop" sends request "again" to "m1" with 10 tokens and fingerprint 70000
    And 6000 ms pass
    Then request "bad" is refused as "crash_suspect" with outcome "unknown"
    And request "again" is refused as "crash_suspect" with outcome "not_run"
    And request "again" took 0 attempts
    And all back ends together crashed at most 3 times
    And at least 238 requests of "coop" finish

  # Guards against banning requests that only ran on the same engine as the crashing request.
  Scenario: Requests that only share an engine with a crashing request are not banned
    Given 4 engines with 8 slots in zone "a" for model "m1"
    And every back end crashes on fingerprint 70000
    When "coop" sends 8 requests at once to "m1" with 30 tokens each
    And "coop" sends request "bad" to "m1" with 10 tokens and fingerprint 70000
    And 8000 ms pass
    Then at least 8 requests of "coop" finish
    And request "bad" is refused as "crash_suspect" with outcome "unknown"

  # Guards against a suspect request that waits forever for an idle engine under load.
  Scenario: A suspect request is isolated on an engine under load
    Given 4 engines with 4 slots in zone "a" for model "m1"
    When "coop" sends 50 requests per second to "m1" for 6000 ms with 20 tokens each
    And 1000 ms pass
    And back end "e1" has fault "lost before running" for the next 8 attempts
    And "coop" sends request "r1" to "m1" with 20 tokens
    And 9000 ms pass
    Then all requests of "coop" finish

  # Guards against lost requests when a suspect request crashes one engine while another drains.
  Scenario: A suspect request crashes engines while another engine drains
    Given 5 engines with 8 slots in zone "a" for model "m1"
    And every back end crashes on fingerprint 70000
    When "coop" sends 40 requests per second to "m1" for 5000 ms with 10 tokens each
    And 500 ms pass
    And back end "e4" drains
    And "coop" sends request "bad" to "m1" with 10 tokens and fingerprint 70000
    And 8000 ms pass
    Then request "bad" is refused as "crash_suspect" with outcome "unknown"
    And all back ends together crashed at most 3 times
    And at least 200 requests of "coop" finish

  # Guards against prompts that are all different but share a part that crashes every engine.
  Scenario: Prompts with a part that crashes every engine are refused
    Given a customer "farm"
    And 8 engines with 8 slots in zone "a" for model "m1"
    And every back end crashes on prompt part 800002
    When "coop" sends 40 requests per second to "m1" for 8000 ms with 10 tokens each and prompt parts "800001,800003"
    And 1000 ms pass
    And "farm" sends 4 requests per second to "m1" for 6000 ms with 10 tokens each and prompt parts "800001,800002,800004"
    And 10000 ms pass
    Then all back ends together crashed at most 5 times
    And at most 0 requests of "farm" finish
    And at least 310 requests of "coop" finish

  # Guards against a part that is never banned since its engines send a token before they crash.
  Scenario: Prompts with a part that crashes every engine after its first token are refused
    Given a customer "farm"
    And 8 engines with 8 slots in zone "a" for model "m1"
    And every back end crashes after its first token on prompt part 800002
    When "coop" sends 40 requests per second to "m1" for 8000 ms with 10 tokens each and prompt parts "800001,800003"
    And 1000 ms pass
    And "farm" sends 4 requests per second to "m1" for 6000 ms with 10 tokens each and prompt parts "800001,800002,800004"
    And 10000 ms pass
    Then all back ends together crashed at most 5 times
    And at most 0 requests of "farm" finish
    And at least 310 requests of "coop" finish
