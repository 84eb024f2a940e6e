import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";

/** Controls the fake clocks and timers of this process. */
export interface VirtualTime {
    /** Advances both clocks and runs every timer and promise that becomes due. */
    advance: (ms: number) => Promise<void>;
    /** Like `advance`, faster, where nothing but timers and promises is simulated. */
    advanceTimers: (ms: number) => Promise<void>;
    /** Sets the wall clock to a Unix time, as an administrator or NTP would. The monotonic clock stays as it is. */
    setWallClock: (ms: number) => void;
}

/** Timers and clocks that are faked; microtasks and streams run in real turns of the event loop. */
export const FAKED_TIMERS: FakeMethod[] = [
    "setTimeout",
    "clearTimeout",
    "setInterval",
    "clearInterval",
    "setImmediate",
    "clearImmediate",
    "performance",
    "Date",
];

const START_MS = Date.UTC(2026, 0, 1);

const runTurn = setImmediate;

/** Runs every timer that becomes due, and after each the promises that it has settled. */
async function advanceTimers(clock: Clock, ms: number): Promise<void> {
    let isDone = false;
    clock.setTimeout(() => {
        isDone = true;
    }, ms);
    while (!isDone) {
        clock.next();
        await new Promise<void>(resolve => {
            runTurn(resolve);
        });
    }
}

/** Runs a function with fake clocks and timers, and restores the real ones afterwards. */
export async function runInVirtualTime<Result>(run: (time: VirtualTime) => Promise<Result>): Promise<Result> {
    const clock = install({
        now: START_MS,
        toFake: FAKED_TIMERS,
    });
    try {
        return await run({
            advance: async ms => {
                await clock.tickAsync(ms);
            },
            advanceTimers: ms => advanceTimers(clock, ms),
            setWallClock: ms => clock.setSystemTime(ms),
        });
    }
    finally {
        clock.uninstall();
    }
}
