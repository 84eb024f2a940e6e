import { Given, Then, When } from "@cucumber/cucumber";
import { encodeFrame } from "@kumquathall/link";
import { ok, strictEqual } from "node:assert";
import { listSnapshotParts, type SnapshotPart, SnapshotReceiver } from "./snapshotTransfer.js";

const INDEX = 10;

let data: Buffer;
let parts: SnapshotPart[] = [];
let receiver = new SnapshotReceiver();
let whole: ReturnType<SnapshotReceiver["receive"]>;

function receiveAll(arriving: SnapshotPart[]): void {
    for (const part of arriving) {
        whole = receiver.receive(part) ?? whole;
    }
}

function buildParts(bytes: number, index: number): SnapshotPart[] {
    data = Buffer.alloc(bytes, 7);
    data.writeUInt32BE(bytes, bytes - 4);
    return listSnapshotParts({
        kind: "snapshot",
        term: 2,
        sentAt: 5,
        snapshot: { index, term: 1, members: ["a"], data },
    });
}

Given("a snapshot of {int} bytes", (bytes: number) => {
    receiver = new SnapshotReceiver();
    whole = undefined;
    parts = buildParts(bytes, INDEX);
});

When("its first part arrives, and then a newer snapshot of {int} bytes", (bytes: number) => {
    receiveAll(parts.slice(0, 1));
    parts = buildParts(bytes, INDEX + 1);
    receiveAll(parts);
});

Then("it is the newer one", () => strictEqual(whole?.snapshot.index, INDEX + 1));

When("its parts arrive in order", () => receiveAll(parts));

When("its second part is lost and the snapshot is sent again", () => {
    receiveAll(parts.filter((_, at) => at !== 1));
    ok(whole === undefined);
    receiveAll(parts);
});

Then("the whole snapshot is received, and every part fits in a frame", () => {
    ok(whole !== undefined && Buffer.compare(Buffer.from(whole.snapshot.data), data) === 0);
    parts.forEach(part => encodeFrame({ t: "cast", m: { kind: "snapshotPart", from: "a", part } }));
});
