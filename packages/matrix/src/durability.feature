@durability
Feature: Accepted configurations outlive lost disks, losses of power, cuts and changes of members

    # Guards against acknowledgements with too few copies, unsynced files and names, votes of members without a disk, and
    # processes that end by themselves, in groups of five whose disks, links and processes fail in series and at once.
    Scenario Outline: Every member shows the newest acknowledged version, as it was sent, after the final fault
        When operators publish to <vms> control VMs for 8 s amid disruptions, with seeds 1 to 8
        Then nothing acknowledged is lost or shown in an older state, and no process ends for another reason than its disk

        Examples:
            | vms |
            | 5   |
            | 8   |

    # Guards against changes that stay unanswered while a disk is full, and after it has room again: a process that ends, a
    # torn block amid the log, a snapshot or a segment that is never written.
    Scenario Outline: While the disks of <vms> control VMs are full in turn, changes are acknowledged
        When operators publish to <vms> control VMs for 20 s amid "full disks in turn", with seeds 1 to 8
        Then nothing acknowledged is lost or shown in an older state, and no process ends for another reason than its disk
        And no more than 4000 ms pass without an acknowledgement

        Examples:
            | vms |
            | 3   |
            | 5   |

    # Guards against losses that are not replaced before the next one, until too few members are left to elect a leader: a
    # process that had just joined was removed before its first answer and added again, without end.
    Scenario Outline: Losses that follow each other are each replaced, with <vms> control VMs of which five are members
        When operators publish to <vms> control VMs for 40 s amid "losses in turn", with links that take <link> ms to set up and seeds 1 to <seeds>
        Then nothing acknowledged is lost or shown in an older state, and each loss is made up for 4 s after the VM is back
        And members change at most once for each disk that is lost and once for each that takes its place

        Examples:
            | vms | link | seeds |
            | 8   | 150  | 6     |
            | 8   | 400  | 4     |
            | 5   | 150  | 4     |

    # Guards against members that hold no copy and can't answer: a process that asked to join was added at once, in the place of a
    # member that might have been back with its disk.
    Scenario: A process whose disk hangs and that asks to join takes no member's place
        When operators publish to 8 control VMs for 40 s amid "losses in turn beside a hanging disk", with links that take 150 ms to set up and seeds 1 to 6
        Then nothing acknowledged is lost or shown in an older state, and each loss is made up for 4 s after the VM is back
        And members change at most once for each disk that is lost and once for each that takes its place

    Scenario Outline: The simulation detects that the guard <guard> is disabled
        When operators publish to 5 control VMs for 8 s amid "<disruptions>", with seeds 1 to 5, without "<guard>"
        Then something acknowledged is lost or shown in an older state

        Examples:
            | guard            | disruptions            |
            | majorityOfCopies | slow leader loses disk |
            | appendAfterMatch | kill leader            |
