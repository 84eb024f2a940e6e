// Machines of the core are added, the settings name them as seeds, and then all processes are killed.
import { BOUNDS, buildManifest, CannotRun, runCase, send, sleep } from "../lib-2/harness.mjs";

const FOUNDERS = [1, 2, 3, 4, 5];
const ADDED = [6, 7, 8];
const FRONTS = 3;
const SERVICE = "orders";
const HOST = "shop.example";
const DOWN_MS = 1000;
const MEASURED_REQUESTS = 60;
const REQUEST_GAP_MS = 100;

await runCase(import.meta.url, async (deployment, hasTrouble) => {
    const firstSeeds = [1, 2, 3].map(number => deployment.controlAddress(number));
    const cores = FOUNDERS.map(number => deployment.addControl(number, firstSeeds));
    const fronts = Array.from({ length: FRONTS }, (_, at) => deployment.addFront(at + 1, firstSeeds));
    [...cores, ...fronts].forEach(daemon => daemon.start(true));
    const controls = [...deployment.controls];
    for (let number = 1; number <= 3; number++) {
        const server = deployment.addServer({ id: `i-${number}`, service: SERVICE, number, controls });
        await server.start();
    }
    await deployment.publish(buildManifest(3, { service: SERVICE, host: HOST }));
    for (const front of fronts) {
        await deployment.waitFor(`${front.name} ready`, () => deployment.isReady(front));
    }
    await sleep(3000);

    // Planned work: three machines are added, each with an empty disk, and stay.
    const added = ADDED.map(number => deployment.addControl(number, firstSeeds));
    deployment.record("three machines of the core are added");
    added.forEach(daemon => daemon.start(false));
    await sleep(BOUNDS.CatchUpS * 1000 + 2000);
    const servedBefore = await measure(deployment, fronts);
    if (servedBefore < MEASURED_REQUESTS / 4) {
        throw new CannotRun("too few requests were served before the final fault");
    }

    if (hasTrouble) {
        // The settings name other machines that serve control as seeds.
        const seeds = ADDED.map(number => deployment.controlAddress(number));
        deployment.record(`the seeds are exchanged for ${seeds.join(", ")}`);
        deployment.daemons.forEach(daemon => daemon.write({ Seeds: seeds }));
        await sleep(3000);
    }

    await deployment.publish(buildManifest(7, { service: SERVICE, host: HOST }));
    deployment.record("final fault: all processes are killed");
    await Promise.all(deployment.daemons.map(daemon => daemon.kill()));
    await sleep(DOWN_MS);
    deployment.daemons.forEach(daemon => daemon.start(false));
    deployment.record("all machines are back");
    await sleep(BOUNDS.RecoverS * 1000 + 500);

    const served = await measure(deployment, fronts);
    deployment.record(`served: ${servedBefore} of ${MEASURED_REQUESTS} before the final fault, ${served} after RecoverS`);
    return served < MEASURED_REQUESTS / 4
        ? [`RECOVER: ${served} of ${MEASURED_REQUESTS} requests sent later than RecoverS after the machines were back are served, ${servedBefore} before the final fault`]
        : [];
});

async function measure(deployment, fronts) {
    const answers = [];
    for (let at = 0; at < MEASURED_REQUESTS; at++) {
        const front = fronts[at % fronts.length];
        answers.push(send(deployment, front, { host: HOST, path: `/lookup/${at}`, key: "key-1" }));
        await sleep(REQUEST_GAP_MS);
    }
    return (await Promise.all(answers)).filter(answer => answer.status === 200).length;
}
