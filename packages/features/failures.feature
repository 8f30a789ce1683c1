Feature: Promises under failure
  Entries are stopped, killed and paused; the table is away or loses answers.

  Scenario: Replacing every entry in turn as planned cuts and loses nothing
    Given a fleet with 3 entries
    And a steady load of team "kurzeme" on "velves"
    When every entry is stopped as planned and started again in turn
    And the load ends
    Then every answer is whole or refused before it ran
    And no answer is lost

  Scenario: No team runs more than its upper limit while entries are killed
    Given a fleet with 3 entries
    When team "selija" keeps 90 requests of 40 ms on "velves" waiting at all entries
    And entry 2 is killed and started again
    And the load ends
    Then team "selija" never had more than 30 running
    And team "selija" once had at least 20 running

  Scenario: Service goes on while the table is away
    Given a fleet with 3 entries
    When the table is "down" for 6 seconds
    And team "kurzeme" sends 5 requests to "velves" at every entry
    Then every answer is whole and carries the outcome "ran"
    When a change is made while the table is "down"
    Then the change is refused and nothing is in force

  Scenario: A change whose answer is lost is found out by reading back
    Given a fleet with 3 entries
    When data centre "riga" is taken out at entry 1 while answers of the table are lost
    Then the change is in force at every entry

  Scenario: A paused entry starts nothing in a data centre taken out meanwhile
    Given a fleet with 3 entries
    When entry 3 is paused with requests of team "kurzeme" for "velves" on their way
    And data centre "riga" is taken out at entry 1
    And entry 3 goes on after the freshness bound
    Then nothing ran in data centre "riga" after it was taken out

  Scenario: A request sent again through another entry runs once
    Given a fleet with 3 entries
    When a request with an idempotency key is sent to entry 1 and again to entry 2
    Then it ran once and the second answer says so

  Scenario: A request sent again after the crash of its first entry runs once
    Given a fleet with 3 entries
    When a long request with an idempotency key is sent to entry 1, which is killed
    And it is sent again to entry 2
    Then it ran once and the second answer says that the outcome is unknown

  Scenario: While the table is away a request with an idempotency key is not run
    Given a fleet with 3 entries
    When the table is "down" for 0 seconds
    And a request with an idempotency key is sent to entry 1
    Then it is refused with status 503 and the outcome "not-run"

  Scenario Outline: An answer that is <failure> is never passed on as whole
    Given a fleet with 3 entries
    And every target of "velves" answers "<failure>"
    When team "kurzeme" sends 4 requests to "velves" at every entry
    Then every answer carries status 502 and the outcome "unknown"

    Examples:
      | failure   |
      | truncated |
      | crossed   |
      | dropped   |

  Scenario: An entry with a wrong peer key is refused
    Given a fleet with 2 entries
    When an entry with another peer key starts
    Then it never joins and the others log the refusal

  Scenario: The permits of a killed entry come back
    Given a fleet with 3 entries and a longest run of 1 second
    When entry 3 is killed
    Then within the quarantine the others hold every permit of team "selija"
