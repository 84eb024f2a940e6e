import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import type { RoleContext } from "@kumquathall/kernel";
import { LinkListener } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import type { ObservationFact } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { strictEqual } from "node:assert";
import { Registry } from "prom-client";
import { EngineClient, type EngineReport, EngineUnreachableError } from "./engineClient.js";
import { SidecarRole } from "./sidecarRole.js";

const HOST = "127.0.0.1";

/** An engine whose first read ends when the scenario says so. */
class ControlledEngine extends EngineClient {
    settle: { resolve: (report: EngineReport) => void; reject: (error: Error) => void } | undefined;
    private readonly report = new Promise<EngineReport>((resolve, reject) => this.settle = { resolve, reject });

    isFailing = false;

    override readReport(): Promise<EngineReport> {
        return this.isFailing ? Promise.reject(new Error("the report is incomplete")) : this.report;
    }

    override sendOrder(): Promise<{ isAccepted: boolean; status: number }> {
        return Promise.resolve({ isAccepted: true, status: 202 });
    }

    override close(): void {
        // It has no connections.
    }
}

let listener: LinkListener;
let sidecar: SidecarRole;
let engine: ControlledEngine;
let linked: Promise<void>;
let firstReport: Promise<ObservationFact>;
let notifyReport: ((fact: ObservationFact) => void) | undefined;
/** Stops the monotonic clock, so that times in reports don't depend on the machine; timers run on. */
let clock: Clock;

Before({ tags: "@sidecar" }, () => {
    clock = install({ toFake: ["performance"] });
});

After({ tags: "@sidecar" }, async () => {
    await sidecar.close();
    listener.close();
    clock.uninstall();
});

Given("a control member, and a sidecar whose engine does not respond yet", async () => {
    let notifyLinked: () => void = () => undefined;
    linked = new Promise(resolve => notifyLinked = resolve);
    firstReport = new Promise(resolve => notifyReport = resolve);
    const logger = createLogger({ write: () => undefined });
    listener = await LinkListener.listen({
        address: { host: HOST, port: 0 },
        identity: { cluster: "c", controlGroup: "g", role: "control", id: "control-0", incarnation: "1" },
        handlers: {
            // The sidecar calls for the members once its link is open.
            onCall: () => {
                notifyLinked();
                return Promise.resolve({ kind: "members", members: [], gateways: 1 });
            },
            onCast: message => notifyReport?.((message as { facts: ObservationFact[] }).facts[0]),
        },
    });
    engine = new ControlledEngine();
    const context = {
        settings: { id: "side-0", cluster: "c", controlGroup: "g" },
        logger,
        metrics: new Registry(),
    } as unknown as RoleContext;
    const settings = { engineAddress: `${HOST}:1`, seeds: [`${HOST}:${listener.getPort()}`] };
    sidecar = SidecarRole.start(context, settings, engine);
});

When("the sidecar has linked to the control member", () => linked);

function respond(cold: { coldMs?: number }): void {
    const status = {
        orderSequence: 0,
        isBusy: false,
        running: 0,
        waiting: 0,
        kvUsedTokens: 0,
        kvTotalTokens: 0,
        pace: 1,
        models: [],
        staged: [],
        fabricDomain: "f",
        group: undefined,
    };
    engine.settle?.resolve({ bornMs: 5, status, ...cold });
}

When("the engine responds", () => respond({}));

When("the engine responds that it stays cold for {int} ms", (coldMs: number) => respond({ coldMs }));

When("the engine refuses connections", () => {
    engine.settle?.reject(new EngineUnreachableError("the engine's address refuses connections"));
});

When("the engine's report can't be read any more, and {int} ms go by", async (ms: number) => {
    await firstReport;
    engine.isFailing = true;
    clock.tick(ms);
});

Then("the next report says that it stays cold for {int} ms", async (coldMs: number) => {
    const { coldMs: reported = 0 } = await new Promise<ObservationFact>(resolve => notifyReport = resolve);
    strictEqual(reported, coldMs);
});

Then("the first report says that the engine is reachable", async () => {
    const { isReachable, bornMs } = await firstReport;
    strictEqual(isReachable, true);
    strictEqual(bornMs, 5);
});

Then("the first report says that the engine is lost", async () => strictEqual((await firstReport).isReachable, false));

Then("the first report says that it stays cold for {int} ms", async (coldMs: number) => {
    strictEqual((await firstReport).coldMs, coldMs);
});
