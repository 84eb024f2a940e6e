import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";
import { strictEqual } from "node:assert";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { encodeFrame } from "./frame.js";
import { Link, type PeerIdentity } from "./link.js";

/** Immediates are real, so that they run after what a step does in the turn of the timers. */
const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"];
const TURNS = 4;
const STEP_MS = 50;

let clock: Clock;
let link: Link;
let socket: Duplex;
let closeReason: string | undefined;
let outcome = "";

After({ tags: "@link-silence" }, () => {
    link.close("the scenario has ended");
    clock.uninstall();
});

function buildIdentity(id: string): PeerIdentity {
    return { cluster: "c", controlGroup: "g", role: "test", id, incarnation: "1" };
}

async function waitForTurns(): Promise<void> {
    for (let turn = 0; turn < TURNS; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

async function readFrame(frame: unknown): Promise<void> {
    socket.push(encodeFrame(frame));
    await waitForTurns();
}

Given("a link to a peer", async () => {
    clock = install({ toFake: FAKED });
    closeReason = undefined;
    outcome = "";
    socket = new Duplex({ read: () => undefined, write: (_chunk, _encoding, confirm) => confirm() });
    link = new Link(Object.assign(socket, { setNoDelay: () => socket }) as unknown as Socket, {
        identity: buildIdentity("process"),
        handlers: {
            onClose: (_link, reason) => {
                closeReason = reason;
            },
        },
    });
    await readFrame({ t: "hello", identity: buildIdentity("peer") });
});

Given("a call that the peer must answer within {int} ms", (ms: number) => {
    link.call({ question: 1 }, ms).then(
        () => {
            outcome = "answered";
        },
        () => {
            outcome = "failed";
        },
    );
});

When("this process stands still for {int} ms, and then reads a heartbeat", async (ms: number) => {
    clock.jump(ms);
    await readFrame({ t: "ping" });
});

When("this process stands still for {int} ms, and then reads the answer", async (ms: number) => {
    clock.jump(ms);
    await readFrame({ t: "answer", id: 1, m: {} });
});

When("this process runs on for {int} ms, and reads nothing", async (ms: number) => {
    for (let left = ms; left > 0; left -= STEP_MS) {
        clock.tick(STEP_MS);
        await waitForTurns();
    }
});

Then("the link is open", () => strictEqual(link.isOpen(), true));

Then("the link is closed for {string}", (reason: string) => strictEqual(closeReason, reason));

Then("the call is answered", () => strictEqual(outcome, "answered"));

Then("the call has failed", () => strictEqual(outcome, "failed"));
