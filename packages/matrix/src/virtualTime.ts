import { install } from "@sinonjs/fake-timers";

/** The runtime's clock, paused: it moves only when told to. */
export interface VirtualTime {
    /** Lets time pass, running every timer and promise that is due. */
    pass: (ms: number) => Promise<void>;
    /** Moves the wall clock, as an administrator or a time service would. The monotonic clock does not move. */
    setWallClock: (ms: number) => void;
}

const START_MS = Date.UTC(2026, 0, 1);

/** Runs something with the clock paused, and gives the real clock back afterwards. */
export async function runInVirtualTime<Result>(run: (time: VirtualTime) => Promise<Result>): Promise<Result> {
    const clock = install({
        now: START_MS,
        toFake: [
            "setTimeout",
            "clearTimeout",
            "setInterval",
            "clearInterval",
            "setImmediate",
            "clearImmediate",
            "performance",
            "Date",
        ],
    });
    try {
        return await run({
            pass: async ms => {
                await clock.tickAsync(ms);
            },
            setWallClock: ms => clock.setSystemTime(ms),
        });
    }
    finally {
        clock.uninstall();
    }
}
