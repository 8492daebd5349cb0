Feature: Invalid fleet files are refused as a whole
  The error names the file, the line and the reason, and nothing is written.

  Scenario Outline: An invalid file together with a valid one
    Given a store that holds a configuration
    When the operator applies good.yaml and <file>
    Then the command ends with exit code 1
    And the first error is at <file>, line <line>, path <path>
    And the first error says "<reason>"
    And nothing is written

    Examples:
      | file                          | line | path                        | reason                                     |
      | exception-without-reason.yaml | 4    | exceptions[0]               | 'reason' is missing                        |
      | empty-reason.yaml             | 8    | exceptions[0].reason        | 10 are needed                              |
      | blank-reason.yaml             | 8    | exceptions[0].reason        | must be more than spaces                   |
      | unknown-key.yaml              | 7    | routes[0].idempotend        | did you mean 'idempotent'?                 |
      | unknown-service.yaml          | 5    | routes[0].service           | there is no service 'oders'                |
      | out-of-bounds.yaml            | 3    | defaults.timeout_ms         | 5 is less than 10                          |
      | exception-out-of-bounds.yaml  | 7    | exceptions[0].value         | 6 is greater than 5                        |
      | two-exceptions.yaml           | 9    | exceptions[1]               | 'slow-orders' already sets timeout_ms      |
      | duplicate-key.yaml            | 8    | routes[0].worth             | already set on line 7                      |
      | duplicate-service.yaml        | 4    | services[2]                 | 'orders' is listed 2 times                 |
      | bad-shares.yaml               | 4    | services[1].backers         | shares add up to 110 %                     |
      | ambiguous-route.yaml          | 9    | routes[1].path_prefix       | GET /orders belongs to route 'read-order'  |
      | wrong-type.yaml               | 2    | defaults.timeout_ms         | must be a whole number, but is the text    |
      | wrong-name.yaml               | 2    | services[0].name            | lower-case letters                         |
      | not-a-number.yaml             | 2    | defaults.slow_start_s       | not a finite number                        |
      | merge-key.yaml                | 2    | defaults                    | merge keys                                 |
      | broken.yaml                   | 4    | not valid YAML              | expected ',' or ']'                        |
      | split-in-file.yaml            | 3    | services[0].split           | set by 'move', not by files                |
      | domains-in-file.yaml          | 3    | failure_domains_out         | set by 'domain out'                        |
