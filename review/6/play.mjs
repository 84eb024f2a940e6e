// Machines of the core are added, one of the first is dark for some seconds, and the manifest does not outlive a final fault
// that takes as many disks as may be lost.
import { rmSync, mkdirSync } from "node:fs";
import { BOUNDS, buildManifest, call, runCase, sleep } from "../lib-2/harness.mjs";

const FOUNDERS = [1, 2, 3, 4, 5];
const ADDED = [6, 7, 8];
const HOST = "shop.example";
const SERVICE = "orders";
/** As in the site file: `node_kill` of one machine of the core, which loses power for 3.5 s. */
const DARK_MS = 3500;
const FINAL_DOWN_MS = 1500;
/** Time between the two losses: by then the machine has been back for longer than CatchUpS, which is 4 s. */
const BETWEEN_MS = 7000;
const READ_BACK_MS = 8000;

async function play(deployment, hasTrouble) {
    const seeds = [1, 2, 3].map(number => deployment.controlAddress(number));
    const cores = FOUNDERS.map(number => deployment.addControl(number, seeds));
    const front = deployment.addFront(1, seeds);
    [...cores, front].forEach(daemon => daemon.start(true));
    const server = deployment.addServer({ id: "i-1", service: SERVICE, number: 1, controls: [...deployment.controls] });
    await server.start();
    const manifest = buildManifest(3, { service: SERVICE, host: HOST });
    await deployment.publish(manifest);
    await deployment.waitFor("the front daemon is ready", () => deployment.isReady(front));
    await sleep(3000);
    if (hasTrouble) {
        deployment.record("three machines of the core are added");
        const added = ADDED.map(number => deployment.addControl(number, seeds));
        added.forEach(daemon => daemon.start(false));
        cores.push(...added);
        await sleep(BOUNDS.CatchUpS * 1000 + 1000);
    }

    deployment.record("core-5 loses power; its disk is kept");
    await cores[4].kill();
    await sleep(DARK_MS);
    cores[4].start(false);
    await sleep(BETWEEN_MS);

    manifest.Version = 7;
    manifest.Routes[0].TimeoutMs = 1600;
    await deployment.publish(manifest);
    deployment.record("final fault: core-2 and core-3 lose their disks, all other machines that count lose power");
    await Promise.all(cores.map(daemon => daemon.kill()));
    clearDisk(cores[1]);
    clearDisk(cores[2]);
    await sleep(FINAL_DOWN_MS);
    cores.forEach(daemon => daemon.start(false));
    deployment.record("all machines are back");
    await sleep(BOUNDS.RecoverS * 1000);

    const versions = await readBack(deployment);
    const changes = cores.map(daemon => daemon.log().split("event=control-member-change ").length - 1);
    deployment.record(`changes of membership that each machine of the core has begun: ${changes.join(", ")}`);
    const newest = Math.max(0, ...versions);
    deployment.record(`acknowledged is version 7; ${versions.length} reads answered, newest version ${newest}`);
    return newest === 7
        ? []
        : [`LOST: version 7 was acknowledged; from RecoverS to ${READ_BACK_MS} ms after it ${versions.length} reads are answered, the newest version is ${newest || "none"}`];
}

function clearDisk(daemon) {
    rmSync(daemon.settings.DataDir, { recursive: true, force: true });
    mkdirSync(daemon.settings.DataDir, { recursive: true });
}

/** Asks all daemons that serve control in turn, as the operator does at the end of a day. */
async function readBack(deployment) {
    const versions = [];
    const endsAt = performance.now() + READ_BACK_MS;
    for (let at = 0; performance.now() < endsAt; at++) {
        const address = deployment.controls[at % deployment.controls.length];
        const [host, port] = address.split(":");
        const answer = await call({ host, port, path: "/-/config" });
        deployment.record(`operator: reads from ${address}: ${answer.status || answer.error}`);
        if (answer.status === 200) {
            versions.push(JSON.parse(answer.text).Version);
        }
        await sleep(100);
    }
    return versions;
}

await runCase(import.meta.url, play);
