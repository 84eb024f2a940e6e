import { Then, When } from "@cucumber/cucumber";
import { ok } from "node:assert";
import { runChoiceSimulation } from "./choiceSimulation.js";

const MS_PER_SECOND = 1000;

let runPolicy: (policy: string) => number;
let expectedWorkMs = 0;

When(
    "{int} gateways send the mix {string} to {int} groups at a utilization of {float} for {int} s of virtual time, with seed {int}",
    (gateways: number, mix: string, groups: number, utilization: number, seconds: number, seed: number) => {
        const durationMs = seconds * MS_PER_SECOND;
        runPolicy = policy =>
            runChoiceSimulation({ policy, mix, seed, groups, gateways, utilization, durationMs })
                .shortP95;
        expectedWorkMs = runPolicy("expected work");
    },
);

Then("the p95 by expected work is at most {float} times that by {string}", (factor: number, policy: string) => {
    const otherMs = runPolicy(policy);
    ok(expectedWorkMs <= factor * otherMs, `${expectedWorkMs} ms against ${otherMs} ms`);
});
