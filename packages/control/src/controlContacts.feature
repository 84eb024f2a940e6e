@control-contacts
Feature: A control process looks for those that it has known

    # Guards against a control process that ends because of a peer's id, or of what its disk holds, at each start.
    Scenario: What is no address is not looked for
        Given a disk whose contacts are "10.0.0.2:70, nonsense, 10.0.0.3:99999, :1, 10.0.0.4:70"
        When the control processes "10.0.0.5:70#x" and "control-1" open links and close them
        Then it looks for "10.0.0.2:70, 10.0.0.4:70, 10.0.0.5:70"

    Scenario: Contacts that can't be read are none
        Given a disk whose file of contacts is cut off
        Then it looks for ""

    Scenario: A control process is looked for from the end of its link on, for ten minutes
        Given a disk without contacts
        When the control process "10.0.0.5:70" opens a link
        Then it looks for ""
        When that link closes
        Then it looks for "10.0.0.5:70"
        And its disk holds the contacts "10.0.0.5:70"
        When 601 s have passed without it
        Then it looks for ""
