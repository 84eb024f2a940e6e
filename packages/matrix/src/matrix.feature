@matrix
Feature: Every fault at every step, in virtual time

    Scenario: All cells pass with seed 1
        When every cell of the matrix is run with seed 1
        Then none of more than 200 cells fails

    Scenario Outline: The matrix detects that the guard <guard> is disabled
        When the cells of "<operation>" are run with seed 1 without "<guard>"
        Then at least one cell fails

        Examples:
            | operation | guard             |
            | publish   | majorityOfCopies  |
            | order     | ledgerFirstBegin  |
