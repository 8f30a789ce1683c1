Feature: The path of a request
  A caller's request goes with its team's key to an entry and is answered whole.

  Background:
    Given a fleet with 3 entries

  Scenario: A request is served at every entry
    When team "kurzeme" sends 5 requests to "velves" at every entry
    Then every answer is whole and carries the outcome "ran"
    And no request ran twice

  Scenario: A request without a key is refused on a queue of teams and accepted on an open one
    When a request without a key is sent to "velves"
    Then it is refused with status 401 and the outcome "not-run"
    When a request without a key is sent to "kartes"
    Then it is answered with the outcome "ran"

  Scenario: A withdrawn key stops working at every entry
    When the key of team "kurzeme" is withdrawn at entry 1
    Then requests of team "kurzeme" to "velves" are refused with status 401 at every entry

  Scenario: No start in a data centre that was taken out
    When data centre "riga" is taken out at entry 2
    And team "kurzeme" sends 40 requests to "velves" at every entry
    Then every answer is whole and carries the outcome "ran"
    And nothing ran in data centre "riga"
