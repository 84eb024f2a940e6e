import { Then, When } from "@cucumber/cucumber";
import { fail, strictEqual } from "node:assert";
import { buildCheck } from "./checks.js";
import type { ExploreResult } from "./explore.js";

let result: ExploreResult | undefined;

When(
    "the specification {string} is explored as it is, within {int} states",
    { timeout: 60_000 },
    (name: string, maxStates: number) => {
        result = buildCheck(name, undefined, maxStates).run();
    },
);

When("the specification {string} is explored without {string}", { timeout: 60_000 }, (name: string, guard: string) => {
    result = buildCheck(name, guard, undefined).run();
});

Then("no promise is broken", () => {
    strictEqual(result?.violation, undefined, JSON.stringify(result?.violation, undefined, 1));
});

Then("a promise is broken, with a trace of {int} moves", (moves: number) => {
    strictEqual(result?.violation?.trace.length ?? fail("nothing was found"), moves);
});
