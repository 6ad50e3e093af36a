Feature: Invariants of the system

  Scenario: A request runs only on a version that the contract allows
    Given a fleet whose contract allows only "coach-large"
    When a caller asks for no model, for "coach-large" and for "coach-small"
    Then the engines ran only "coach-large@1"
    And the request for "coach-small" was refused as not run

  Scenario: A withdrawn version receives no new work
    Given a fleet under steady traffic for "coach-small"
    When an operator withdraws "coach-small@1"
    Then no engine receives work for "coach-small@1" after 4 seconds
    And the refusals say not run

  Scenario: Each request is billed once
    Given a fleet whose platform loses the answers of a third of all writes
    When 30 requests are answered and the journals are settled
    Then the bills hold each request once and nothing else

  Scenario: An endpoint in cold start never exceeds its limit
    Given a fleet whose only engine turns cold with a limit of 2
    When 30 requests arrive at once at all daemons
    Then the engine never had more than 2 in flight
    And every caller got a complete answer or a refusal that says not run

  Scenario: A zone that is taken out gets no new work
    Given a fleet under steady traffic for "coach-small"
    When an operator takes zone "a" out
    Then no endpoint of zone "a" receives work after 4 seconds
    And no caller's request has failed

  Scenario: A caller receives the complete answer to its own request
    Given a fleet whose engines mix up, truncate, duplicate and delay answers
    When 30 requests are answered
    Then each answer is complete and belongs to its request

  Scenario: A refusal that says not run is true
    Given a fleet whose services refuse, crash and lose answers
    When 30 deposits with distinct idempotency keys are sent
    Then no deposit that was refused as not run has run

  Scenario: A deposit runs at most once
    Given a fleet whose services refuse, crash and lose answers
    When each of 10 deposits is sent repeatedly at every daemon
    Then each deposit has run at most once

  Scenario: A leaving endpoint gets no new work
    Given a fleet under steady traffic for "coach-small"
    When the platform lists engine "engine-a0" as leaving
    Then engine "engine-a0" receives no work after 4 seconds
    And no caller's request has failed

  Scenario: A graceful shutdown interrupts no request
    Given a fleet with 20 answers being streamed by "entry-a0"
    When "entry-a0" is stopped
    Then all 20 answers arrive complete

  Scenario: An accepted configuration is in force everywhere and never reverts
    Given a fleet under steady traffic for "coach-small"
    When two operators make 10 changes each at different daemons
    Then every accepted change is in force at every daemon within 4 seconds
    And no daemon's revision has ever gone back

  Scenario: A session keeps its version
    Given a fleet in which 40 sessions have begun on "coach-small"
    When "coach-small@2" is rolled out to half and then to all new sessions
    And every daemon is replaced by a new one
    Then each session with its token still runs on its first version
