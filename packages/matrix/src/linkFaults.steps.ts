import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { EndpointTask, type EndpointTaskOptions } from "@kumquathall/control";
import { encodeFrame, Link, type LinkFault } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import type { EndpointFact } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, strictEqual } from "node:assert";
import type { Socket } from "node:net";
import { createSimulatedIdentity } from "./deliverySimulation.js";
import { createSimulatedVm, openSimulatedConnection } from "./simulatedNetwork.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const BYTES_PER_MS = 100_000;
const SETTLE_MS = 1000;
/** Time in which all facts reach a gateway, in milliseconds. */
const TRANSFER_MS = 5000;
/** Deeper than the stack of any process allows. */
const DEPTH = 200_000;
const HEADER_BYTES = 4;

const logger = createLogger({ level: "error", write: () => undefined });

let clock: Clock;
let links: Link[] = [];
let socket: Socket;
let handled: unknown[] = [];
let faults: LinkFault["kind"][] = [];
let task: EndpointTask | undefined;
let receivedIds: string[][] = [];

function buildNested(depth: number): unknown {
    let value: unknown = [];
    for (let at = 0; at < depth; at++) {
        value = [value];
    }
    return value;
}

/** Opens a link; returns its near end. */
function openLink(onCast: (message: unknown) => void): Link {
    const [near, far] = openSimulatedConnection(createSimulatedVm(BYTES_PER_MS), createSimulatedVm(BYTES_PER_MS));
    socket = near;
    const onFault = (_: Link, fault: LinkFault) => faults.push(fault.kind);
    const ends = [
        new Link(near, { identity: createSimulatedIdentity("control", "a"), handlers: { onFault } }),
        new Link(far, { identity: createSimulatedIdentity("gateway", "b"), handlers: { onFault, onCast } }),
    ];
    links.push(...ends);
    return ends[0];
}

function writeBody(body: Buffer): void {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(body.length);
    socket.write(Buffer.concat([header, body]));
}

const FAULTS: Record<string, (link: Link) => void> = {
    "nested too deep": link => link.cast(buildNested(DEPTH)),
    "larger than a frame": link => link.cast("x".repeat(9 * 1024 * 1024)),
    "with a function": link => link.cast({ run: () => undefined }),
    "that its receiver can't handle": link => link.cast("malformed"),
    "in a frame that is no CBOR": () => writeBody(Buffer.from([0xff, 0xff, 0x1c])),
    "in a frame that is nested too deep": () => writeBody(Buffer.alloc(DEPTH, 0x81)),
    "in a frame that is a number": () => socket.write(encodeFrame(7)),
    "in a frame of an unknown type": () => socket.write(encodeFrame({ t: "other" })),
};

Before({ tags: "@link-faults" }, () => {
    clock = install({ toFake: FAKED_TIMERS });
    links = [];
    handled = [];
    faults = [];
    receivedIds = [];
});

After({ tags: "@link-faults" }, () => {
    task?.close();
    task = undefined;
    links.forEach(link => link.close("the scenario has ended"));
    clock.uninstall();
});

Given("two processes with a link between them", async () => {
    openLink(message => {
        if (message === "malformed") {
            throw new TypeError("the message has no kind");
        }
        handled.push(message);
    });
    await clock.tickAsync(SETTLE_MS);
});

When(
    "one sends the other the messages {string}, one {string} and {string}",
    async (first: string, fault: string, last: string) => {
        links[0].cast(first);
        await clock.tickAsync(SETTLE_MS);
        FAULTS[fault](links[0]);
        await clock.tickAsync(SETTLE_MS);
        links[0].cast(last);
        await clock.tickAsync(SETTLE_MS);
    },
);

Then("the other has handled {string}, and the link is open", (messages: string) => {
    deepStrictEqual(handled, messages.split(", "));
    strictEqual(links.every(link => link.isOpen()), true);
});

Then("the fault is reported as {string}", (kind: string) => deepStrictEqual(faults, [kind]));

function watchFacts(member: EndpointTask): void {
    const ids: string[] = [];
    receivedIds.push(ids);
    const link = openLink(message => {
        const { facts } = message as { facts: EndpointFact[] };
        ids.push(...facts.map(fact => fact.kind === "observation" ? fact.address : fact.id));
    });
    member.watch(link);
}

function buildFact(at: number, models: string[]): EndpointFact {
    return {
        kind: "heartbeat",
        id: `e${at}`,
        service: "s",
        address: `10.0.${at >> 8}.${at & 255}:80`,
        dataCentre: "d",
        slots: 1,
        isLeaving: false,
        bornMs: 1,
        sequence: 1,
        engine: {
            orderSequence: 1,
            isBusy: false,
            running: 0,
            waiting: 0,
            kvUsedTokens: 0,
            kvTotalTokens: 0,
            pace: 1,
            models,
            staged: [],
            fabricDomain: "f",
            group: undefined,
        },
    };
}

async function recordAtMember(facts: EndpointFact[]): Promise<void> {
    const runtime = { getState: () => ({ id: "m", leaderId: undefined }), canServe: () => false };
    task = new EndpointTask({ runtime, stateMachine: {}, logger } as unknown as EndpointTaskOptions);
    watchFacts(task);
    watchFacts(task);
    await clock.tickAsync(SETTLE_MS);
    facts.forEach(fact => task?.record(fact));
    await clock.tickAsync(TRANSFER_MS);
}

Given(
    "a control member that gateways watch, with {int} facts of {int} KB each",
    (count: number, kilobytes: number) => {
        const models = Array.from({ length: kilobytes * 4 }, (_, at) => String(at).padEnd(250, "x"));
        return recordAtMember(Array.from({ length: count }, (_, at) => buildFact(at, models)));
    },
);

Given(
    "a control member that gateways watch, with a fact that holds an unknown field",
    () => recordAtMember([Object.assign(buildFact(0, []), { later: buildNested(DEPTH) })]),
);

Then(
    "{int} gateways receive the {int} facts, and so does one that links later",
    async (gateways: number, count: number) => {
        watchFacts(task!);
        await clock.tickAsync(TRANSFER_MS);
        strictEqual(receivedIds.length, gateways + 1);
        receivedIds.forEach(ids => strictEqual(new Set(ids).size, count));
        deepStrictEqual(faults.filter(kind => kind !== "sent-message"), []);
    },
);
