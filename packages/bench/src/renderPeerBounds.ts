/** What a peer can make a process hold, as in the constants of the code: what, bound, per what, and what happens above it. */
const BOUNDS = [
    "| head of a caller's request | 64 KiB, 2000 fields | request | 431 |",
    "| body of a caller's request | `MaxBodyBytes` of the configuration | request | 413, connection closed |",
    "| bodies of callers' requests | 64 MiB | gateway | 503 `bodies-full` |",
    "| bodies of calls to control, for 10 s at most | 128 MiB; heartbeats 32 MiB of their own | control | the connection is closed |",
    "| ids of endpoints | 24,000 | control, each gateway | a heartbeat of a new id is answered 503 |",
    "| log entries that wait for the disk | 64 MiB | control | the process ends |",
    "| small chunks of bodies and of responses | 30,000 a second each | control, gateway | their peers are read in turns |",
    "| head of an endpoint's response | 16 KiB | response | the attempt has failed |",
    "| response without events | 16 MiB | response | the attempt has failed |",
    "| incomplete event of a stream | 1 MiB | stream | the attempt has failed |",
    "| incomplete responses and events | 96 MiB | gateway | the attempt has failed |",
    "| events that a caller has not read | 4 MiB | stream | `cut-caller-behind` |",
    "| events that callers have not read | 64 MiB | gateway | `cut-caller-behind` |",
    "| whole answers that callers have not read | 64 MiB, 96 with incomplete ones | gateway | 503 `answers-full` for further requests; answers of earlier ones wait at their endpoints; one that is not read for 15 s is cut |",
    "| the same, with answers to requests accepted before | 96 MiB | gateway | the oldest is cut |",
    "| response of an engine | 1 MiB | response | the report or order has failed |",
    "| whole response of an engine to an agent | 16 MiB | request | the request has failed |",
];

/** Renders the table of what peers can make a process hold. */
export function renderPeerBounds(): string[] {
    return [
        "## What a peer can make a process hold",
        "",
        "Each bound counts the memory that is held, not only the bytes: chunks are copied into blocks, so that bytes in small chunks cost at most twice what they are. Buffers are not part of the heap, whose limits are 200 MB for a gateway and 64 MB for a sidecar.",
        "",
        "| what | bound | per | above it |",
        "| --- | --- | --- | --- |",
        ...BOUNDS,
        "",
    ];
}
