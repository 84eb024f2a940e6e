@matrix
Feature: Every fault at every step, in virtual time

    Scenario: All cells hold with seed 1
        When every cell of the matrix is run with seed 1
        Then none of more than 200 cells fails

    Scenario Outline: The matrix notices when the guard <guard> is off
        When the cells of "<story>" are run with seed 1 without "<guard>"
        Then at least one cell fails

        Examples:
            | story   | guard             |
            | publish | majorityOfCopies  |
            | order   | ledgerFirstBegin  |
