@durability
Feature: Accepted configurations outlive lost disks, losses of power, cuts and changes of members

    # Guards against acknowledgements with too few copies, unsynced files and names, votes of members without a disk, and
    # processes that end by themselves, in groups of five whose disks, links and processes fail in series and at once.
    Scenario: Every member shows the newest acknowledged version, as it was sent, after the final fault
        When operators publish to 5 control VMs for 8 s amid disruptions, with seeds 1 to 8
        Then nothing acknowledged is lost or shown in an older state, and no process ends for another reason than its disk

    Scenario Outline: The simulation detects that the guard <guard> is disabled
        When operators publish to 5 control VMs for 8 s amid "<disruptions>", with seeds 1 to 5, without "<guard>"
        Then something acknowledged is lost or shown in an older state

        Examples:
            | guard            | disruptions            |
            | majorityOfCopies | slow leader loses disk |
            | appendAfterMatch | kill leader            |
