/** Types shared by the replicated log and its storage. */

/** One entry of the replicated log. */
export interface LogEntry<Payload> {
    index: number;
    term: number;
    payload: LogPayload<Payload>;
}

/** Payload of a log entry: empty (a leader's first entry), a batch of commands, or the control group's members. */
export type LogPayload<Payload> =
    | { kind: "empty" }
    | { kind: "commands"; commands: Payload[] }
    | { kind: "members"; members: string[] };

/** State that must survive a restart: it is synced to disk before any message that depends on it is sent. */
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
