/** The shapes that the replicated log and its storage share. */

/** One entry of the replicated log. */
export interface LogEntry<Payload> {
    index: number;
    term: number;
    payload: LogPayload<Payload>;
}

/** What an entry carries: nothing (a leader's first entry), a batch of commands, or the control group's members. */
export type LogPayload<Payload> =
    | { kind: "empty" }
    | { kind: "commands"; commands: Payload[] }
    | { kind: "members"; members: string[] };

/** What a member must never forget: synced before any message that depends on it. */
export interface HardState {
    term: number;
    votedFor: string | undefined;
}

/** A snapshot of the state machine up to and including `index`. */
export interface Snapshot {
    index: number;
    term: number;
    members: string[];
    data: Uint8Array;
}
