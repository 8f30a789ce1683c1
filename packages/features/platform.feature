Feature: Submissions on the platform
  Nodes, a store and targets as separate processes and servers.

  Scenario: A submission is completed, whichever node took it, and each task runs once
    Given a deployment with 3 nodes and 3 targets
    When 4 submissions are sent to every node
    Then all of them are completed
    And no task ran twice

  Scenario: The owner is killed while tasks run
    Given a deployment with 3 nodes and 3 targets
    When 4 submissions are sent to every node
    And the owner is killed
    Then all of them are completed
    And no task ran twice

  Scenario: The owner is stopped as planned and hands over
    Given a deployment with 3 nodes and 3 targets
    When 4 submissions are sent to every node
    And the owner is told to stop
    Then all of them are completed
    And no task ran twice
    And the stopped node has ended by itself

  Scenario: A paused owner wakes after another has taken over
    Given a deployment with 3 nodes and 3 targets
    When 4 submissions are sent to every node
    And the owner is paused for 2500 ms
    Then all of them are completed
    And no task ran twice

  Scenario: The store is down
    Given a deployment with 2 nodes and 2 targets
    When the store is down
    Then a submission is refused at once and told when to come back
    When the store is back
    And 2 submissions are sent to every node
    Then all of them are completed
    And nothing of the refused submission ran

  Scenario: Answers of the store are lost
    Given a deployment with 2 nodes and 2 targets
    When the store loses its answers for 400 ms
    And 3 submissions are sent to every node
    Then all of them are completed
    And no task ran twice

  Scenario: Targets lose answers, carry starts out late and fall silent
    Given a deployment with 2 nodes and 4 targets
    When the targets get into trouble
    And 4 submissions are sent to every node
    Then all of them are completed
    And no task ran twice

  Scenario: A cancelled submission starts nothing more
    Given a deployment with 2 nodes and 1 targets
    When a long submission is sent and cancelled
    Then it is shown as cancelled and nothing of it runs on

  Scenario: All nodes are killed at once
    Given a deployment with 3 nodes and 3 targets
    When 3 submissions are sent to every node
    And all nodes are killed and started again
    Then all of them are completed
    And no task ran twice
