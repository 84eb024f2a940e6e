import { Given, Then, When } from "@cucumber/cucumber";
import { encodeFrame } from "@kumquathall/link";
import { ok } from "node:assert";
import { listSnapshotParts, type SnapshotPart, SnapshotReceiver } from "./snapshotTransfer.js";

let data: Buffer;
let parts: SnapshotPart[] = [];
let receiver = new SnapshotReceiver();
let whole: ReturnType<SnapshotReceiver["receive"]>;

function receiveAll(arriving: SnapshotPart[]): void {
    for (const part of arriving) {
        whole = receiver.receive(part) ?? whole;
    }
}

Given("a snapshot of {int} bytes", (bytes: number) => {
    data = Buffer.alloc(bytes, 7);
    data.writeUInt32BE(bytes, bytes - 4);
    receiver = new SnapshotReceiver();
    whole = undefined;
    parts = listSnapshotParts({
        kind: "snapshot",
        term: 2,
        sentAt: 5,
        snapshot: { index: 10, term: 1, members: ["a"], data },
    });
});

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
