@agent-output
Feature: An agent's buffer of a response costs about what its bytes do, whatever the size of their pieces

    # Guards against an agent that an engine fills with pieces of one byte long before the limit of their bytes.
    Scenario Outline: A response in pieces of <size> bytes while the entry <entry>
        Given a response buffer with <credit> bytes of credit
        When 300000 bytes arrive in pieces of <size>, of which 10000 arrive before each send
        Then at most <chunks> chunks are held, at a cost of less than 700000 bytes
        And the chunks that are sent in all hold the bytes unchanged and are numbered without a gap

        Examples:
            | size | entry         | credit  | chunks |
            | 1    | takes them    | 1000000 | 30     |
            | 7    | takes them    | 1000000 | 30     |
            | 1    | takes nothing | 0       | 5      |

    # Guards against an agent that counts the bytes of many chunks only, and exceeds its memory by what chunks cost.
    Scenario: Chunks are counted with what they cost beside their bytes
        Given a response buffer with 1000000 bytes of credit
        When 1000 bytes arrive in pieces of 1, of which 1 arrive before each send
        Then at least 1000 chunks are counted as more than 200000 bytes
        And all of that is freed once the chunks that were sent are dropped
