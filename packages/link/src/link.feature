@link
Feature: Links between processes

    # Guards against a message of another build, or a malformed one, that ends the process that receives it or closes the
    # link, so that what follows is never received.
    Scenario: A message that its receiver can't handle is dropped, and the link and the process serve the next one
        Given a process that accepts links and fails on the message "malformed"
        When a peer sends it the message "malformed"
        And the same peer sends it the message "valid"
        Then it has handled the messages "malformed, valid"
        And the peer's link is open

    Scenario: A message to several peers reaches each of them
        Given a process that accepts links and fails on the message "malformed"
        When it sends the message "to all" to 3 peers at once
        Then each of them has received the message "to all"
