import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, strictEqual } from "node:assert";
import { connect } from "node:net";
import { castToAll, Link, type PeerIdentity } from "./link.js";
import { LinkListener } from "./linkListener.js";

const HOST = "127.0.0.1";

let listener: LinkListener;
let handled: unknown[] = [];
let peers: Link[] = [];
let received: unknown[] = [];
let handledNext: Promise<void>;

function buildIdentity(id: string): PeerIdentity {
    return { cluster: "c", controlGroup: "g", role: "test", id, incarnation: "1" };
}

/** Opens a link to the process; resolves once both sides know each other. */
async function openPeer(id: string, onCast?: (message: unknown) => void): Promise<Link> {
    return new Promise(resolve => {
        const link: Link = new Link(connect(listener.getPort(), HOST), {
            identity: buildIdentity(id),
            handlers: { onOpen: () => resolve(link), onCast },
        });
        peers.push(link);
    });
}

let notifyHandled: () => void = () => undefined;

Before({ tags: "@link" }, () => {
    handled = [];
    peers = [];
    received = [];
});

After({ tags: "@link" }, () => {
    peers.forEach(link => link.close("the scenario has ended"));
    listener.close();
});

Given("a process that accepts links and fails on the message {string}", async (malformed: string) => {
    listener = await LinkListener.listen({
        address: { host: HOST, port: 0 },
        identity: buildIdentity("process"),
        handlers: {
            onCast: message => {
                handled.push(message);
                notifyHandled();
                if (message === malformed) {
                    throw new TypeError("the message has no kind");
                }
            },
        },
    });
});

When("a peer sends it the message {string}", async (message: string) => {
    handledNext = new Promise(resolve => notifyHandled = resolve);
    const link = await openPeer(`peer-${peers.length}`);
    link.cast(message);
    await handledNext;
});

When("the same peer sends it the message {string}", async (message: string) => {
    handledNext = new Promise(resolve => notifyHandled = resolve);
    peers[peers.length - 1].cast(message);
    await handledNext;
});

Then("the peer's link is open", () => strictEqual(peers.every(peer => peer.isOpen()), true));

Then("it has handled the messages {string}", (messages: string) => {
    deepStrictEqual(handled, messages.split(", "));
});

When("it sends the message {string} to {int} peers at once", async (message: string, count: number) => {
    const arrivals = Array.from({ length: count }, async (_, at) => {
        let arrive: () => void = () => undefined;
        const arrival = new Promise<void>(resolve => arrive = resolve);
        await openPeer(`peer-${at}`, item => {
            received.push(item);
            arrive();
        });
        return { arrival };
    });
    const waits = await Promise.all(arrivals);
    castToAll([...listener.links], message);
    await Promise.all(waits.map(({ arrival }) => arrival));
});

Then("each of them has received the message {string}", (message: string) => {
    strictEqual(received.length, peers.length);
    deepStrictEqual(new Set(received), new Set([message]));
});
