Feature: Guarantees under failure
  Entries are stopped, killed and paused; the table is unavailable or loses responses.

  Scenario: A graceful rolling restart of all entries truncates and loses no response
    Given a fleet with 3 entries
    And a steady load from team "kurzeme" to "velves"
    When every entry is stopped gracefully and restarted in turn
    And the load ends
    Then every response is complete or states that the request did not run
    And no response is lost

  Scenario: No team runs more than its upper limit while entries are killed
    Given a fleet with 3 entries
    When team "selija" keeps 90 requests of 40 ms to "velves" in flight at all entries
    And entry 2 is killed and restarted
    And the load ends
    Then team "selija" never had more than 30 requests running
    And team "selija" had at least 20 requests running at some time

  Scenario: Requests are served while the table is unavailable
    Given a fleet with 3 entries
    When the table is "down" for 6 seconds
    And team "kurzeme" sends 5 requests to "velves" at every entry
    Then every response is complete and has the outcome "ran"
    When a change is submitted while the table is "down"
    Then the change is refused and not applied

  Scenario: A change whose response is lost is confirmed by reading it back
    Given a fleet with 3 entries
    When data centre "riga" is taken out at entry 1 while responses of the table are lost
    Then the change is applied at every entry

  Scenario: A paused entry starts nothing in a data centre taken out meanwhile
    Given a fleet with 3 entries
    When entry 3 is paused with requests of team "kurzeme" to "velves" in flight
    And data centre "riga" is taken out at entry 1
    And entry 3 resumes after the freshness bound
    Then nothing ran in data centre "riga" after it was taken out

  Scenario: A request that is retried at another entry runs once
    Given a fleet with 3 entries
    When a request with an idempotency key is sent to entry 1 and retried at entry 2
    Then it ran once and the second response says so

  Scenario: A request that is retried after its first entry crashed runs once
    Given a fleet with 3 entries
    When a long request with an idempotency key is sent to entry 1, which is killed
    And it is retried at entry 2
    Then it ran once and the second response says that the outcome is unknown

  Scenario: A request with an idempotency key does not run while the table is unavailable
    Given a fleet with 3 entries
    When the table is "down" for 0 seconds
    And a request with an idempotency key is sent to entry 1
    Then it is refused with status 503 and the outcome "not-run"

  Scenario Outline: A response that is <failure> is never forwarded as complete
    Given a fleet with 3 entries
    And every target of "velves" fails with "<failure>"
    When team "kurzeme" sends 4 requests to "velves" at every entry
    Then every response has status 502 and the outcome "unknown"

    Examples:
      | failure   |
      | truncated |
      | crossed   |
      | dropped   |

  Scenario: An entry with a wrong peer key is refused
    Given a fleet with 2 entries
    When an entry with another peer key starts
    Then it never joins and the other entries log the refusal

  Scenario: The permits of a killed entry return to the other entries
    Given a fleet with 3 entries and a maximum run time of 1 second
    When entry 3 is killed
    Then after the quarantine the other entries hold every permit of team "selija"
