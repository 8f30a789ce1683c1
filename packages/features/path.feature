Feature: The path of a request
  A caller sends a request with its team's key to an entry and gets a complete response.

  Background:
    Given a fleet with 3 entries

  Scenario: A request is served at every entry
    When team "kurzeme" sends 5 requests to "velves" at every entry
    Then every response is complete and has the outcome "ran"
    And no request ran twice

  Scenario: A request without a key is refused by a team service and accepted by an open one
    When a request without a key is sent to "velves"
    Then it is refused with status 401 and the outcome "not-run"
    When a request without a key is sent to "kartes"
    Then its response has the outcome "ran"

  Scenario: A withdrawn key stops working at every entry
    When the key of team "kurzeme" is withdrawn at entry 1
    Then requests of team "kurzeme" to "velves" are refused with status 401 at every entry

  Scenario: Nothing runs in a data centre that was taken out
    When data centre "riga" is taken out at entry 2
    And team "kurzeme" sends 40 requests to "velves" at every entry
    Then every response is complete and has the outcome "ran"
    And nothing ran in data centre "riga"
