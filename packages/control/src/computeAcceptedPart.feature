@accepted-part
Feature: A group counts for the part of its work that its head accepts

    # Guards against free endpoints that are assigned as if a head that has just started took its full share.
    Scenario Outline: The smaller of a named limit and the rate of a cold head counts, while they apply
        Given a group whose usual request takes 100 ms
        And a head that names <limit>, and is cold until <until> ms at a rate of <rate>
        Then at 1000 ms it accepts a part of <part>

        Examples:
            | limit    | until | rate | part |
            | no limit | 2000  | 4    | 0.4  |
            | no limit | 900   | 4    | 1    |
            | no limit | 2000  | 32   | 1    |
            | no limit | 2000  | no   | 1    |
            | 2        | 2000  | 4    | 0.2  |
            | 8        | 2000  | 4    | 0.4  |
            | 2        | 900   | 4    | 0.2  |
