import { After, Given, Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, match } from "node:assert";
import { Kernel } from "./kernel.js";
import { RolePlugin, type RunningRole } from "./plugin.js";
import { registerRolePlugin } from "./registry.js";

const DRAIN_MS = 500;

let clock: Clock;
let kernel: Kernel;
let steps: string[] = [];
let lines: string[] = [];
let failingStep = "";

class TestRole implements RunningRole {
    constructor(private readonly isFailing: boolean) {}

    isReady(): boolean {
        return true;
    }

    async drain(): Promise<void> {
        this.failAt("drain");
        if (!this.isFailing) {
            await new Promise(resolve => setTimeout(resolve, DRAIN_MS));
            steps.push("drained");
        }
    }

    close(): Promise<void> {
        this.failAt("close");
        if (!this.isFailing) {
            steps.push("closed");
        }
        return Promise.resolve();
    }

    private failAt(step: string): void {
        if (this.isFailing && step === failingStep) {
            throw new Error(`the role can't ${step}`);
        }
    }
}

class TestPlugin extends RolePlugin {
    override readonly settingsSchema = {};

    constructor(override readonly name: string, private readonly isFailing: boolean) {
        super();
    }

    override start(): Promise<RunningRole> {
        return Promise.resolve(new TestRole(this.isFailing));
    }
}

After({ tags: "@kernel-stop" }, () => clock.uninstall());

Given("a process with a role that fails to {word} and one that drains for 500 ms", async (step: string) => {
    clock = install();
    steps = [];
    lines = [];
    failingStep = step;
    registerRolePlugin(new TestPlugin("test-sound", false));
    registerRolePlugin(new TestPlugin("test-failing", true));
    kernel = await Kernel.start({
        settings: {
            cluster: "c",
            region: "r",
            dataCentre: "d",
            controlGroup: "g",
            id: "p",
            logLevel: "info",
            roles: { "test-sound": {}, "test-failing": {} },
        },
        logger: createLogger({ write: line => lines.push(line) }),
        onFatal: () => undefined,
    });
});

When("it stops", async () => {
    const stopped = kernel.stop();
    await clock.tickAsync(DRAIN_MS);
    await stopped;
});

Then("the second role has drained and is closed", () => deepStrictEqual(steps, ["drained", "closed"]));

Then("the failure is logged", () => match(lines.join(""), new RegExp(`role-not-stopped .*can't ${failingStep}`)));
