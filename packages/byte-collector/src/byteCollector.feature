@byte-collector
Feature: Collected bytes cost about what they are, whatever the size of their chunks

    # Guards against a peer that fills the memory with many small chunks long before the limit of their bytes.
    Scenario Outline: Bytes in chunks of <size> hold at most twice their memory
        When 1000000 bytes are collected in chunks of <size>
        Then they are joined unchanged
        And at most 2000256 bytes were held for them

        Examples:
            | size   |
            | 1      |
            | 7      |
            | 1000   |
            | 70000  |
            | 999999 |

    Scenario: What exceeds a limit is not added, and closed collectors return their memory
        Then any chunks within the limits are collected unchanged, and nothing is held after a close
