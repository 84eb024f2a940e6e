import { type FakeMethod, install } from "@sinonjs/fake-timers";

/** Controls the fake clocks and timers of this process. */
export interface VirtualTime {
    /** Advances both clocks and runs every timer and promise that becomes due. */
    advance: (ms: number) => Promise<void>;
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
            setWallClock: ms => clock.setSystemTime(ms),
        });
    }
    finally {
        clock.uninstall();
    }
}
