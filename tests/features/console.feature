Feature: Operators and automation change the configuration on the operators' port

  Background:
    Given two consoles on one store whose version 1 is in force

  Scenario Outline: Unauthenticated clients can read only the health endpoints
    # A network scan finds the operators' port, so every response without
    # authentication is public.
    When an unauthenticated client sends <method> "<path>" to the console
    Then the console responds with <status>

    Examples:
      | method | path               | status |
      | GET    | /health            | 200    |
      | GET    | /ready             | 200    |
      | GET    | /metrics           | 401    |
      | GET    | /api/status        | 401    |
      | GET    | /api/history       | 401    |
      | GET    | /api/configuration | 401    |
      | PUT    | /api/configuration | 401    |
      | GET    | /                  | 303    |
      | GET    | /history           | 303    |
      | GET    | /list/operators    | 303    |
      | POST   | /draft             | 303    |
      | POST   | /edit/services     | 303    |
      | POST   | /sign-out          | 303    |
      | GET    | /static/anything   | 404    |

  Scenario: A wrong password is rejected each time
    When "operator" calls the API with a wrong password 3 times
    Then the console responds with 401

  Scenario: Automation changes the configuration with ETag and If-Match
    When automation reads the document and submits share 9 for "co-lan" on top of its ETag
    Then the console responds with 200
    And version 2 with share 9 for "co-lan" by "automation" is in force
    And the document that automation read has no password hash, and all operators can still sign in

  Scenario Outline: The status code shows the outcome of a submission
    # Automation decides by the status code alone whether a retry is safe.
    When automation submits a document that <case>
    Then the console responds with <status>
    And the API's error is "<error>"

    Examples:
      | case                               | status | error        |
      | has no If-Match                    | 428    | base_missing |
      | has an If-Match without a version  | 428    | base_missing |
      | is based on an older version       | 409    | conflict     |
      | has three mistakes                 | 422    | invalid      |
      | is not valid JSON                  | 400    | no_json      |
      | is sent while the service is down  | 503    | refused      |
      | is stored just before an outage    | 504    | unknown      |
      | is sent by a viewer                | 403    | forbidden    |

  Scenario: An operator changes a share with the console's forms
    # The complete workflow: sign in, change, preview, submit, check the history.
    Given "operator" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    Then the page shows "share: <del>0.5</del> → <ins>12</ins>"
    And the draft is not in force on any console
    When the operator submits the draft
    Then the page shows "Version 2 was accepted"
    And version 2 with share 12 for "co-lan" by "operator" is in force

  Scenario: A mistake is shown beside its field
    Given "operator" is signed in to the first console
    When the operator sets share "-3" for "co-lan" in the form
    Then the console responds with 422
    And the page's field "share" has an error with "above 0"
    When the operator sets share "many" for "co-lan" in the form
    Then the page's field "share" has an error with "Not a valid float"

  Scenario: A mistake found by document validation is shown beside its field
    Given "operator" is signed in to the first console
    When the operator assigns "co-lan" the key of "tri-viet" in the form
    Then the page's field "keys" has an error with "tri-viet has this one"

  Scenario: A new service is created with several forms
    # A service is valid only together with a backend server and a request kind.
    # Each has a form of its own, and two different routers serve the forms.
    Given "operator" is signed in to the first console
    When the operator adds the service "dich-thuat" and keeps it in the draft
    Then the page shows "Not acceptable yet"
    And the page shows "href="/edit/services?name=dich-thuat">services: dich-thuat</a>"
    When the operator adds its backend server and, at the second console, its request kind
    And the operator submits the draft
    Then the page shows "Version 2 was accepted"
    And the service "dich-thuat" is in force with 1 backend server

  Scenario: An operator can resolve a conflict
    # Two operators change different accounts. The second one must see the first
    # one's changes, keep the draft, and submit the draft on top of them.
    Given "operator" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    And automation gets share 9 for "sao-mai" accepted before the draft is submitted
    Then the console responds with 409
    And the page shows "made from version 1, but version 2 is accepted"
    And the page shows "share: <del>4</del> → <ins>9</ins>"
    When version 2 comes into force at the consoles and the operator loads the draft again
    Then the page shows "Version 2 came into force after your draft was begun"
    When the operator submits the draft
    Then version 3 with share 12 for "co-lan" by "operator" is in force
    And the share of "sao-mai" in force is 9

  Scenario: A draft is submitted only on top of the version that was previewed
    # A version comes into force between preview and submit. The operator has
    # not seen the difference to this version, so the difference is shown first.
    Given "operator" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    And version 2 comes into force after the preview and the operator submits the draft
    Then the page shows "Version 2 came into force after your draft was begun"
    And the store still has version 2

  Scenario: A form that another site submits is rejected
    # Cross-site request forgery: a page of another site makes the operator's
    # browser submit a form. The cookie may be sent, but the site does not know
    # the token, and the Origin header names the site.
    Given "operator" is signed in to the first console
    When forms without a token, with another session's token and from another origin are sent
    Then each of these forms is rejected with 403
    And the store still has version 1

  Scenario: A viewer can read but not change the configuration
    Given "guest" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    Then the console responds with 403
    And the page "/list/client_accounts" shows "co-lan" and no "Add"

  Scenario: A session is valid on every router until the password changes
    Given "operator" is signed in to the first console
    Then the session is valid at the second console
    And modified, empty and other operators' session cookies are rejected
    When the password of "operator" is changed
    Then the session is no longer valid

  Scenario: The overview shows the version in force on each instance
    Given "operator" is signed in to the first console
    Then the page "/" shows "hn-b-2" and its version as "behind"
    And the page "/" has a Content-Security-Policy against foreign frames and scripts

  Scenario: Operators can read metrics and status
    When "guest" reads "/metrics" and "/api/status"
    Then the metrics are in the text format and the status has the members

  Scenario: Idle connections of unauthenticated clients are closed
    # A client opens connections and sends nothing, or part of a request. Each
    # one takes a slot, until operators and health checks get no connection.
    When a client holds an idle connection and one with a partial request to the console
    Then the console closes both
    And a sign-in form above the size limit is rejected
