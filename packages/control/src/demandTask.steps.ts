import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Link } from "@kumquathall/link";
import { createLogger, InputFaultLog } from "@kumquathall/logger";
import type { EngineProfile, TrafficService } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { strictEqual } from "node:assert";
import { Registry } from "prom-client";
import { type DemandPlan, DemandTask } from "./demandTask.js";

const SERVICE = "s";
const ENDPOINTS = 57;

let clock: Clock;
let task: DemandTask;
let service: TrafficService;
let engine: EngineProfile;
let lines: string[] = [];
let received: { kind: string }[] = [];
let isLeader = false;
let term = 1;

function buildLink(id: string): Link {
    return {
        peer: { id },
        cast: (message: { kind: string }) => {
            received.push(message);
            return true;
        },
    } as unknown as Link;
}

function choosePlan(): DemandPlan {
    return task.choosePlan({ service, engine, endpoints: ENDPOINTS, isEvacuating: false, now: performance.now() });
}

After({ tags: "@demand-task" }, () => {
    task.close();
    clock.uninstall();
});

Given(
    "a control member that a gateway watches, and a service with models {string} and {string} of declared shares {float}",
    (first: string, second: string, share: number) => {
        clock = install({ toFake: ["setInterval", "clearInterval", "performance"] });
        lines = [];
        received = [];
        term = 1;
        const logger = createLogger({ write: line => lines.push(line) });
        const runtime = { canServe: () => isLeader, getState: () => ({ hardState: { term } }) };
        task = new DemandTask({
            runtime: runtime as unknown as ConstructorParameters<typeof DemandTask>[0]["runtime"],
            logger,
            faults: new InputFaultLog({ logger }),
            metrics: new Registry(),
        });
        const models = [first, second].map(name => ({ name, groupSize: 4, share, pace: 1, loadMs: 1, warmMs: 1 }));
        engine = { models } as unknown as EngineProfile;
        service = { name: SERVICE, maxConnections: 1, engine };
        task.watch(buildLink("g1"));
    },
);

Given("the member leads: {word}", (leads: string) => {
    isLeader = leads === "yes";
});

When("the member begins to lead", () => {
    isLeader = true;
    term++;
});

When(
    "a gateway reports {int} requests of {string} and {int} of {string} each second for {int} s",
    (first: number, firstModel: string, second: number, secondModel: string, seconds: number) => {
        const build = (model: string, count: number) => ({ service: SERVICE, model, workMs: count, requests: count });
        for (let at = 0; at < seconds; at++) {
            const items = [build(firstModel, first), build(secondModel, second)];
            task.record({ kind: "modelDemand", items, intervalMs: 1000 }, buildLink("g1"));
            clock.tick(1000);
            if (isLeader) {
                choosePlan();
            }
        }
    },
);

Then("the watching gateway has received totals: {word}", (hasReceived: string) => {
    strictEqual(received.some(message => message.kind === "demandTotals"), hasReceived === "yes");
});

Then("a plan uses the share {float} of {string}", (share: number, name: string) => {
    const { profile } = choosePlan();
    strictEqual(profile.models.find(model => model.name === name)?.share, share);
});

Then("{int} lines {string} are logged", (count: number, event: string) => {
    strictEqual(lines.filter(line => line.includes(event)).length, count);
});
