import { Then, When } from "@cucumber/cucumber";
import { fail, strictEqual } from "node:assert";
import { buildCheck } from "./checks.js";
import type { ExploreResult } from "./explore.js";

let result: ExploreResult | undefined;

When(
    "the specification {string} is explored with all guards, within {int} states",
    { timeout: 60_000 },
    (name: string, maxStates: number) => {
        result = buildCheck(name, undefined, maxStates).run();
    },
);

When("the specification {string} is explored without {string}", { timeout: 60_000 }, (name: string, guard: string) => {
    result = buildCheck(name, guard, undefined).run();
});

Then("no invariant is violated", () => {
    strictEqual(result?.violation, undefined, JSON.stringify(result?.violation, undefined, 1));
});

Then("an invariant is violated, with a trace of {int} transitions", (transitions: number) => {
    strictEqual(result?.violation?.trace.length ?? fail("no violation was found"), transitions);
});
