import { KumquathallError } from "@kumquathall/errors";

/** Thrown when this member is stopping, is not the leader, or lost leadership before the proposal was committed. */
export class ConsensusError extends KumquathallError {
    /** The leader to ask instead, if known. */
    readonly leaderId: string | undefined;

    constructor(message: string, leaderId: string | undefined) {
        super(message);
        this.leaderId = leaderId;
    }
}

/** Thrown when it cannot be known whether a proposal has been committed. */
export class UnknownOutcomeError extends KumquathallError {}
