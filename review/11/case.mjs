// A control process is frozen while an operator's order waits at its socket. The operator gets the order confirmed by
// another process, and then a newer, opposite order. What happens to the old one when the frozen process wakes?
import http from "node:http";
import { readFileSync } from "node:fs";
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { buildManifest, buildRoute, Deployment, PlainServer, runCase, send } from "../standins-3/deployment.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["bagmati-a", "bagmati-b", "bagmati-c"];
const ZONE = "bagmati-c";
/** Bounds of the deployment, as its sheet gives them. */
const BOUNDS = {
    ContactMs: 4000, AckMs: 5000, CatchUpS: 6, DrainMs: 2500, ConfigMs: 2500, OuterMs: 6000, ColdFactor: 1.5, ColdSlack: 5,
    EvacuateMs: 5000, RecoverS: 15, PassMs: 200, StallMs: 4000, BudgetSlack: 226,
};
/** Freeze of one machine of the core; the site's days freeze one for up to 7.4 s. */
const FREEZE_MS = 7000;

/** Calls one daemon as an operator does: a second without a response ends the call. */
function callOnce(url, method, path) {
    return new Promise(resolve => {
        const request = http.request(`${url}${path}`, { method, agent: false }, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
        });
        request.setTimeout(1000, () => request.destroy(new Error("no response within a second")));
        request.on("error", error => resolve(error.message));
        request.end();
    });
}

/** Sends an order to one daemon after the other until one confirms it, for `AckMs` at most. */
async function order(deployment, method, first) {
    const path = `/-/evacuations/${ZONE}`;
    const endsAt = performance.now() + BOUNDS.AckMs;
    for (let at = first; performance.now() < endsAt; at++) {
        const control = deployment.controls[at % deployment.controls.length];
        const outcome = await callOnce(deployment.controlUrls[at % deployment.controls.length], method, path);
        deployment.record(`operator: ${method} ${path} at ${control.name}: ${outcome}`);
        if (outcome === 200) {
            return performance.now();
        }
    }
    throw new Error(`${method} ${path} was not confirmed`);
}

/** Finds a control process that does not lead. */
function findFollower(deployment) {
    return deployment.controls.findLastIndex(control => {
        const roles = [...readFileSync(control.log, "utf8").matchAll(/event=consensus-role .*?state=(\S+)/g)];
        return roles.at(-1)?.[1] !== "leader";
    });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async keep => {
    const deployment = await Deployment.start({ controls: 5, gateways: 2, zones: ZONES, bounds: BOUNDS });
    keep(deployment);
    const servers = [];
    for (const [at, zone] of ZONES.entries()) {
        servers.push(await new PlainServer(deployment, { service: "booking-desk", at, zone }).listen());
    }
    await deployment.publish(buildManifest(
        1,
        [buildRoute("daylist-read", "/lohu930/", "idempotent", "booking-desk", { TimeoutMs: 1506, GoalMs: 142 })],
        [{ Name: "booking-desk", HealthPath: "/healthz", MaxConns: 190, Protocol: "h1", Tls: false }],
    ));
    await deployment.waitReady();
    await sleep(3000);
    let isDone = false;
    let count = 0;
    const statuses = {};
    const clients = deployment.gateways.map(async gateway => {
        while (!isDone) {
            const answer = await send(gateway, { path: "/lohu930/2f", id: `r${++count}`, deadlineMs: 1506 });
            const outcome = answer.status ?? answer.error;
            statuses[outcome] = (statuses[outcome] ?? 0) + 1;
            await sleep(50);
        }
    });
    const runsInZone = (from, to) =>
        servers.filter(server => server.zone === ZONE).flatMap(server => server.runs)
            .filter(run => run.at > from && run.at <= to);
    const follower = findFollower(deployment);
    const other = (follower + 1) % deployment.controls.length;
    await sleep(1000);
    deployment.record(`runs in ${ZONE} before any order: ${runsInZone(0, performance.now()).length}`);
    const firstAck = await order(deployment, "POST", other);
    await sleep(BOUNDS.EvacuateMs + 1000);
    const firstRuns = runsInZone(firstAck + BOUNDS.EvacuateMs, performance.now()).length;
    deployment.record(`runs in ${ZONE} from EvacuateMs after the confirmation on: ${firstRuns}`);

    if (HAS_TROUBLE) {
        deployment.controls[follower].signal("SIGSTOP");
        deployment.record(`${deployment.controls[follower].name} freezes`);
    }
    const frozenAt = performance.now();
    await sleep(300);
    const withdrawnAt = await order(deployment, "DELETE", follower);
    await sleep(1500);
    const secondAck = await order(deployment, "POST", other);
    await sleep(Math.max(0, frozenAt + FREEZE_MS - performance.now()));
    if (HAS_TROUBLE) {
        deployment.controls[follower].signal("SIGCONT");
        deployment.record(`${deployment.controls[follower].name} wakes`);
    }
    const wokeAt = performance.now();
    // Machines are in touch again `ContactMs` after the freeze of a machine of the core has ended.
    const judgedFrom = Math.max(secondAck + BOUNDS.EvacuateMs, wokeAt + BOUNDS.ContactMs);
    await sleep(judgedFrom + 8000 - performance.now());
    const judgedTo = performance.now();
    await order(deployment, "DELETE", other);
    isDone = true;
    await Promise.all(clients);
    const runs = runsInZone(judgedFrom, judgedTo);
    deployment.record(`answers to clients: ${JSON.stringify(statuses)}`);
    deployment.record(`withdrawal confirmed ${((wokeAt - withdrawnAt) / 1000).toFixed(1)} s, second evacuation confirmed `
        + `${((wokeAt - secondAck) / 1000).toFixed(1)} s before the end of the freeze`);
    deployment.record(`runs in ${ZONE} over ${((judgedTo - judgedFrom) / 1000).toFixed(1)} s, from EvacuateMs after the second `
        + `confirmation and ContactMs after the freeze on, before it is taken back: ${runs.length}`);
    runs.slice(0, 5).forEach(run => deployment.record(`  for example ${run.id} at ${run.server}`));
    return firstRuns + runs.length > 0;
});
