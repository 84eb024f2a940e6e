@membership
Feature: The control group finds and changes its members

    Scenario: The seeds of the first start found the group
        Given an empty disk at "10.0.0.1:70", a first start and the seeds "10.0.0.1:70,10.0.0.2:70,10.0.0.3:70"
        When the process reads its identity
        Then its id is "10.0.0.1:70" and it knows 3 founding members
        When the process reads its identity at a later start
        Then its id is "10.0.0.1:70" and it knows 3 founding members

    Scenario: A process that is not a seed knows no members until it is added
        Given an empty disk at "10.0.0.9:70", a first start and the seeds "10.0.0.1:70,10.0.0.2:70,10.0.0.3:70"
        When the process reads its identity
        Then it has a new id at "10.0.0.9:70" and knows no members

    Scenario: A seed that restarts with an empty disk gets a new id
        Given an empty disk at "10.0.0.1:70", a later start and the seeds "10.0.0.1:70,10.0.0.2:70,10.0.0.3:70"
        When the process reads its identity
        Then it has a new id at "10.0.0.1:70" and knows no members

    Scenario Outline: Members change one at a time
        Given the members <members>, of which <unresponsive> does not answer, a target of 5 and the joiner <joiner>
        Then the next change is <change>

        Examples:
            | members                   | unresponsive | joiner | change           |
            | "a:1,b:1,c:1"             | ""           | "d:1"  | "add d:1"        |
            | "a:1,b:1,c:1,d:1,e:1"     | ""           | "f:1"  | ""               |
            | "a:1,b:1,c:1,d:1,e:1"     | "b:1"        | "f:1"  | "remove b:1"     |
            | "a:1,b:1,c:1,d:1,e:1"     | ""           | "b:1#x" | "remove b:1"    |
            | "a:1,c:1,d:1,e:1"         | ""           | "b:1#x" | "add b:1#x"     |
            | "a:1,b:1,c:1"             | ""           | "b:1"  | ""               |

    # Guards against a lost disk that is never made up for, because another process always asks to join first.
    Scenario Outline: A joiner proves that the disk of a member is lost, whatever else asks to join
        Given the members "a:1,b:1,c:1,d:1,e:1", of which <unresponsive> does not answer, a target of 5 and the joiner <joiners>
        Then the next change is "remove b:1"

        Examples:
            | unresponsive | joiners         |
            | ""           | "f:1,b:1#x"     |
            | "c:1"        | "f:1,g:1,b:1#x" |

    # Guards against a group that gets smaller with each loss: where the target was below the number of founders, a member
    # was removed for a joiner that was then never added.
    Scenario Outline: A member is removed only if a joiner takes its place
        Given the members <members>, of which "b:1" does not answer, a target of <target> and the joiner "d:1"
        Then the next change is <change>

        Examples:
            | members         | target | change       |
            | "a:1,b:1,c:1"   | 3      | "remove b:1" |
            | "a:1,b:1,c:1"   | 1      | ""           |

    # Guards against members that hold no copy: a member that might have been back with its disk was removed for any process that
    # asked to join, and that process was added before it held anything.
    Scenario Outline: A joiner takes a member's place once it holds a copy, whatever else asks to join
        Given the members <members>, of which <silent> does not answer, a target of 5 and the joiners <joiners>, of which <copies> hold a copy
        Then the next change is <change>
        And the log is sent to the joiners <learners>

        Examples:
            | members               | silent    | joiners             | copies | change       | learners        |
            | "a:1,b:1,c:1,d:1,e:1" | ""        | "f:1,g:1"           | "f:1"  | ""           | ""              |
            | "a:1,b:1,c:1,d:1,e:1" | "b:1"     | "f:1,g:1"           | ""     | ""           | "f:1,g:1"       |
            | "a:1,b:1,c:1,d:1,e:1" | "b:1"     | "f:1,g:1"           | "g:1"  | "remove b:1" | "f:1,g:1"       |
            | "a:1,b:1,c:1,d:1,e:1" | "b:1,d:1" | "f:1"               | "f:1"  | "remove d:1" | "f:1"           |
            | "a:1,b:1,c:1,d:1,e:1" | "b:1"     | "f:1,g:1,h:1,i:1"   | ""     | ""           | "f:1,g:1,h:1"   |
            | "a:1,c:1,d:1,e:1"     | ""        | "f:1,g:1"           | ""     | ""           | "f:1,g:1"       |
            | "a:1,c:1,d:1,e:1"     | ""        | "f:1,g:1"           | "g:1"  | "add g:1"    | "f:1,g:1"       |
            | "a:1,c:1,d:1,e:1"     | "d:1"     | "f:1"               | "f:1"  | "add f:1"    | "f:1"           |
            | "a:1,c:1,d:1,e:1"     | "f:1"     | "f:1,g:1"           | "f:1"  | ""           | "f:1,g:1"       |
            | "a:1,b:1,c:1,d:1,e:1" | ""        | "f:1,b:1#x"         | ""     | "remove b:1" | "f:1,b:1#x"     |
            | "a:1,b:1,c:1,d:1,e:1" | "c:1"     | "f:1,b:1#x"         | "f:1"  | "remove b:1" | "f:1,b:1#x"     |

    # Guards against the removal of a member that has just been added, or of all members after a suspension of the leader.
    Scenario: Silence counts from when the leader began to send, and not while it was suspended
        Given a leader that has sent to "b:1,c:1" for 60 s
        When it sends to "b:1,c:1,d:1" for 1 s
        Then "d:1", which has never answered, has been silent for 1 s
        And "b:1", which last answered 3 s ago, has been silent for 3 s
        When it is suspended for 5 s
        And it sends to "b:1,c:1,d:1" for 1 s
        Then "b:1", which last answered 9 s ago, has been silent for 1 s
        When it sends to "b:1,d:1" for 1 s
        And it sends to "b:1,c:1,d:1" for 1 s
        Then "c:1", which has never answered, has been silent for 1 s
        And "d:1", which has never answered, has been silent for 3 s
        When it is replaced, and leads again after 1 s
        And it sends to "b:1,c:1,d:1" for 2 s
        Then "b:1", which last answered 9 s ago, has been silent for 2 s

    # Guards against the removal of a member for what an earlier process at its address had asked before it ended.
    Scenario: A process that starts again at an address takes the place of the one that had asked before
        Given the joiners "f:1,g:1#x", which ask again and again
        When "g:1#y" asks to join
        Then the joiners are tried in the order "f:1,g:1#y"

    # Guards against a joiner that is never added because entries are committed all the time, each a moment before it holds it.
    Scenario Outline: A joiner that is a moment behind holds a copy
        Given a leader that commits an entry every 100 ms for <seconds> s
        Then a joiner that lacks the newest <lacking> entries holds a copy: <holds>

        Examples:
            | seconds | lacking | holds |
            | 4       | 5       | yes   |
            | 4       | 6       | no    |
            | 0       | 0       | yes   |

    # Guards against joiners that are slow and keep others from being tried.
    Scenario: Joiners that are slow go last, and a process that has ended asks no longer
        Given the joiners "f:1,g:1,h:1,i:1", which ask again and again
        When "f:1,g:1,h:1" have been learners for 2 s
        Then the joiners are tried in the order "f:1,g:1,h:1,i:1"
        When "f:1,g:1,h:1" have been learners for 2 s
        Then the joiners are tried in the order "i:1,f:1,g:1,h:1"
        When no joiner has asked for 2 s
        Then the joiners are tried in the order ""

    Scenario: The group keeps the size at which it was founded
        Given the seeds "10.0.0.1:70,10.0.0.2:70,10.0.0.3:70" and a target of 1
        Then the group has 3 members

    Scenario Outline: Groups are planned once the endpoints of a starting fleet have appeared
        Given 33 endpoints of which <linked> have a linked sidecar, the newest seen <newest> ms ago and the first <first> ms
        Then the fleet is settled: <settled>

        Examples:
            | linked | newest | first | settled |
            | 33     | 400    | 900   | yes     |
            | 33     | 100    | 900   | no      |
            | 27     | 400    | 900   | no      |
            | 27     | 2500   | 3100  | yes     |
