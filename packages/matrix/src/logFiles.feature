@log-files
Feature: The files of a member's log hold what it relies on, whenever its process ends or its VM loses power

    # Guards against the end of a sound process: the start of a segment removed the temporary file of a snapshot that was
    # being written at the same time, or failed because that file had just been renamed.
    Scenario: A snapshot is stored while a segment is started
        When a member stores the next snapshot while it starts a segment, with seeds 1 to 40
        Then no write fails, and the log opens with the newest snapshot

    # Guards against a confirmation that a loss of power takes back: after its process had ended before a sync, a member
    # counted entries as durable that were in the page cache only.
    Scenario: What a member has recovered outlives a loss of power
        When a process ends during an append, another opens the log and the VM then loses power, with seeds 1 to 40
        Then no entry that was recovered is lost

    # Guards against entries that come back: the removal of a segment was lost with the power, and its last entries were
    # taken for the continuation of a snapshot that had replaced them.
    Scenario: Entries that a snapshot has replaced do not come back
        When a snapshot replaces entries of another leader and the VM then loses power, with seeds 1 to 40
        Then no replaced entry is recovered
