Feature: Operators and automation change the configuration at the operators' port

  Background:
    Given two consoles on one store whose version 1 is in force

  Scenario Outline: Nothing but health is shown to strangers
    # The operators' port is found by a scan of the network. Whatever it
    # tells without a password is told to everyone.
    When a stranger sends <method> "<path>" to the console
    Then the console answers <status>

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

  Scenario: A wrong password is refused, again and again
    When "operator" calls the API with a wrong password 3 times
    Then the console answers 401

  Scenario: Automation changes the configuration with ETag and If-Match
    When automation reads the document and puts share 9 for "co-lan" on top of its ETag
    Then the console answers 200
    And version 2 with share 9 for "co-lan" by "automation" is in force
    And no password hash was in what automation read, and all operators still sign in

  Scenario Outline: What became of a submission is told by its status
    # Automation decides by the status alone whether it may send again.
    When automation puts a document that <case>
    Then the console answers <status>
    And the API's error is "<error>"

    Examples:
      | case                               | status | error        |
      | has no If-Match                    | 428    | base_missing |
      | has an If-Match that is no version | 428    | base_missing |
      | is made from an older version      | 409    | conflict     |
      | has three mistakes                 | 422    | invalid      |
      | is no JSON                         | 400    | no_json      |
      | comes while the service is down    | 503    | refused      |
      | loses its answer and the service   | 504    | unknown      |
      | comes from a viewer                | 403    | forbidden    |

  Scenario: An operator changes a share by the console's forms
    # The whole way: sign in, change, preview, submit, look in the history.
    Given "operator" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    Then the page shows "share: <del>0.5</del> → <ins>12</ins>"
    And the draft is nowhere in force
    When the operator submits the draft
    Then the page shows "Version 2 was accepted"
    And version 2 with share 12 for "co-lan" by "operator" is in force

  Scenario: A mistake is shown beside its field
    Given "operator" is signed in to the first console
    When the operator sets share "-3" for "co-lan" in the form
    Then the console answers 422
    And the page's field "share" has an error with "above 0"
    When the operator sets share "many" for "co-lan" in the form
    Then the page's field "share" has an error with "Not a valid float"

  Scenario: A mistake that shows across sections is shown beside its field
    Given "operator" is signed in to the first console
    When the operator gives "co-lan" the key of "tri-viet" in the form
    Then the page's field "keys" has an error with "tri-viet has this one"

  Scenario: A new service is put together over several forms
    # A service needs a backend server and a request kind at once, each with
    # a form of its own, and the forms come from two different routers.
    Given "operator" is signed in to the first console
    When the operator adds the service "dich-thuat" and keeps it in the draft
    Then the page shows "The draft is not valid yet"
    And the page shows "href="/edit/services?name=dich-thuat">services: dich-thuat</a>"
    When the operator adds its backend server and, at the second console, its request kind
    And the operator submits the draft
    Then the page shows "Version 2 was accepted"
    And the service "dich-thuat" is in force with 1 backend server

  Scenario: A conflict is shown so that it can be resolved
    # Two operators change different accounts. The second one must see what
    # the first changed, keep the own change, and put it on top.
    Given "operator" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    And automation gets share 9 for "sao-mai" accepted before the draft is submitted
    Then the console answers 409
    And the page shows "made from version 1, but version 2 is accepted"
    And the page shows "share: <del>4</del> → <ins>9</ins>"
    When version 2 comes into force at the consoles and the operator loads the draft again
    Then the page shows "Version 2 came into force after your draft was started"
    When the operator submits the draft
    Then version 3 with share 12 for "co-lan" by "operator" is in force
    And the share of "sao-mai" in force is 9

  Scenario: What was previewed is what is submitted
    # A version comes into force between preview and submit. The operator
    # has not seen the difference against it, so it is shown first.
    Given "operator" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    And version 2 comes into force after the preview and the operator submits the draft
    Then the page shows "Version 2 came into force after your draft was started"
    And the store still has version 2

  Scenario: A form that another site sends is refused
    # A page elsewhere makes the operator's browser send a form. The cookie
    # may come along, the token can't, and the origin tells it.
    Given "operator" is signed in to the first console
    When a form without a token, one with a foreign token and one from another origin are sent
    Then each foreign form is answered 403
    And the store still has version 1

  Scenario: A viewer looks and does not change
    Given "guest" is signed in to the first console
    When the operator sets share "12" for "co-lan" in the form
    Then the console answers 403
    And the page "/list/client_accounts" shows "co-lan" and no "Add"

  Scenario: A session holds on every router and ends with the password
    Given "operator" is signed in to the first console
    Then the session is good at the second console
    And a changed, a foreign and an empty session cookie are not
    When the password of "operator" is changed
    Then the session is no longer good

  Scenario: The overview shows where each version is in force
    Given "operator" is signed in to the first console
    Then the page "/" shows "hn-b-2" and its version as "behind"
    And the page "/" is sent with a policy against foreign frames and scripts

  Scenario: Metrics and status are for operators
    When "guest" reads "/metrics" and "/api/status"
    Then the metrics are in the text format and the status has the members

  Scenario: A stranger's silent connections are closed
    # A stranger opens connections and sends nothing, or half a request. Each
    # one takes a place, until operators and health checks get none.
    When a stranger holds a silent and a half-sent connection to the console
    Then the console closes both
    And no more than a form's worth of a stranger's sign-in is read
